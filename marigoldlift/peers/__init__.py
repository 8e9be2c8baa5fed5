"""Messages and gRPC transport between entries."""
