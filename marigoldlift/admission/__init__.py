"""Admission of requests: queueing, deadlines, concurrency limits and the retry budget."""
