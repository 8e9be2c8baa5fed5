"""Accepted submissions: their model, stored records and the state that folds from them."""
