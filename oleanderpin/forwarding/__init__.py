"""Forwarding: from a caller's request to the whole answer of a target."""
