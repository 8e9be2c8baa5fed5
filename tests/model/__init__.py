"""Tests of several entries of one failure domain in one process on a virtual clock."""
