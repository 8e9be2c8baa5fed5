"""Creates the objects of one entry and connects them with each other."""
