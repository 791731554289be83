"""``oleanderpin``: the operators' command line."""
