"""Election of the one entry that gives orders, by records in the shared log."""
