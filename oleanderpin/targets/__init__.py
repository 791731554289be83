"""Targets: announcements, the table of live targets, their exchange."""
