"""What is spoken on the wire: the epoll loop, buffers, codecs and one file for each counterpart."""
