"""Replica of the shared log in each entry: ordered group commits, and a tail that recovers from lost history."""
