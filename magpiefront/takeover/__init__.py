"""Takeover of a lost proxy's reports: another member of the group completes each of them exactly once."""
