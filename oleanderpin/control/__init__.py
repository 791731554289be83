"""Control state: commands, replicated log, distribution and freshness."""
