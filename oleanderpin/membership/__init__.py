"""Which instances are alive, and where they can be reached."""
