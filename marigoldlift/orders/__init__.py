"""Orders to workers: leases, fencing tokens, ends, and the doubt about unanswered starts."""
