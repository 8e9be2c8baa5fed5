"""In-memory stand-ins of the platform that implement the protocols of the real adapters."""
