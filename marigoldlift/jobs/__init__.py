"""Jobs and non-repeatable keys of a failure domain."""
