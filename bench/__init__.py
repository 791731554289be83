"""Benchmarks of single concerns."""
