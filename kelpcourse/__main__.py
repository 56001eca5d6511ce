"""Entry point of `python -m kelpcourse`, which runs one controller on network sockets."""

import os
import sys

from kelpcourse.service.controller import main

if __name__ == "__main__":
    sys.exit(main(os.environ))
