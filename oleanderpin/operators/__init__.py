"""The admin listener: operators, announcements, metrics and health."""
