"""Target announcements, the table of live targets and its exchange."""
