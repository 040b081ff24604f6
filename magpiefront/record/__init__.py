"""A store of record for reports: none is confirmed before it is held, and none is held twice."""
