"""Streams of the platform's log: group commit, following, relay and snapshots."""
