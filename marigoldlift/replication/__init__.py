"""Copy of the stored records in each entry: ordered group commits and a tail that survives lost history."""
