"""Entry point: `python -m kelpcourse.simhost` runs the adapter on stdin and stdout."""

import sys

from kelpcourse.simhost.server import main

if __name__ == "__main__":
    sys.exit(main())
