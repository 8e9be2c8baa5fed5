"""Stand-ins of the platform in memory, behind the protocols that the real adapter meets."""
