"""Leases of workers and the capacity ledger of their owner."""
