"""Network input and output: the epoll loop, buffers, codecs and one module for each peer service."""
