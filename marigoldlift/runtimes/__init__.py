"""Run times and worker speeds, learned from the runs that have ended."""
