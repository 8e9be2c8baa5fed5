"""Cluster scheduler for unlike work on one shared cell."""
