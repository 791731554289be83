"""Admin HTTP API: operator commands, target announcements, metrics, health."""
