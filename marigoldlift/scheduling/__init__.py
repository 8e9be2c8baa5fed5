"""Scheduling on the leader: what runs next, on which worker, and when a run is stopped."""
