"""Orders to workers: leases, fencing tokens, ended runs, and starts whose outcome is unknown."""
