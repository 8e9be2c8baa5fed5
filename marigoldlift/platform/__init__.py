"""Services of the platform: protocol types and their HTTP adapters."""
