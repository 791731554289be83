"""Randomized faults on real daemons, checked from outside."""
