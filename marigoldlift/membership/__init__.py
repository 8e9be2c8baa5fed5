"""Membership: liveness of entries, and choice of the preferred entry for a key."""
