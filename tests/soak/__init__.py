"""Soak tests: entry processes under planned maintenance and continuous client traffic."""
