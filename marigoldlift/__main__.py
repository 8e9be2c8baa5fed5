"""Run the program as `python -m marigoldlift`."""

import sys

from marigoldlift.cmdline import main

__all__ = ()

if __name__ == '__main__':
    sys.exit(main())
