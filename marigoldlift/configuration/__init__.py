"""Labels, selectors, quotas and policies that operators publish."""
