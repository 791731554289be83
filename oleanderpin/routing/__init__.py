"""Routing: selects the target that serves a request."""
