"""Benchmarks; each prints a table."""
