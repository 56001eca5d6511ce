"""Entry point: `python -m kelpcourse` runs one controller on real sockets."""

import os
import sys

from kelpcourse.service.controller import main

if __name__ == "__main__":
    sys.exit(main(os.environ))
