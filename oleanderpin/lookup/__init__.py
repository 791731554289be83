"""Look-up: which instances a caller should use."""
