"""Benchmarks; each prints its figures and takes fixed seeds."""
