"""The demonstration run by ``make demo``."""
