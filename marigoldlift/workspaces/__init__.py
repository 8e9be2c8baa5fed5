"""Workspaces on the platform path: who shares the cell, and with which weight and cap."""
