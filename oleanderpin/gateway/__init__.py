"""The listener of routes: one event loop, many requests a connection."""
