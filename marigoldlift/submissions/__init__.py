"""Accepted submissions: their model, stored records and the state built from the records."""
