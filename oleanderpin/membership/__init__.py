"""Membership: the live instances and their addresses."""
