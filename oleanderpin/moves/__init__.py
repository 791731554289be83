"""Version moves and drains."""
