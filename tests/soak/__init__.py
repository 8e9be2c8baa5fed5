"""Real entries under planned work, with clients that never stop."""
