"""Life of a request from its entry to a worker and back."""
