"""Benchmarks; run each as a module, such as ``python -m bench.membership``."""
