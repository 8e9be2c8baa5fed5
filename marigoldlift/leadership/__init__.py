"""Election of the single entry that sends orders to workers, by records in the shared log."""
