"""Forwards callers' requests to targets and returns the responses."""
