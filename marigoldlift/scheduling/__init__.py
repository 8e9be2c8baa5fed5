"""Decisions of the leader: what runs next, on which worker, and when it is stopped."""
