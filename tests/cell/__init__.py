"""Tests of several entries on a virtual clock, with the platform's stand-ins."""
