"""A store of record for reports: a report is confirmed only once it is stored, and stored only once."""
