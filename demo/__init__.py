"""Demo of a small fleet on one machine, run by ``make demo``."""
