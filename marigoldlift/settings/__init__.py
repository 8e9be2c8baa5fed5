"""Reading and validation of the JSON settings file."""
