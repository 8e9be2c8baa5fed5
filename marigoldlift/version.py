"""Version of the program."""

__all__ = ('VERSION',)

VERSION = '0.1.0'
