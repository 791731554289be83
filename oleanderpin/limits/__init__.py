"""Limits of client accounts over the fleet."""
