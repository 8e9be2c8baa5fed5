"""Tests of several entries on a virtual clock, with in-memory stand-ins of the platform."""
