"""Load generator and demo of one small cell on the loopback interface."""
