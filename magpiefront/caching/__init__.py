"""A shared HTTP cache (RFC 9111) as a stage before the host."""
