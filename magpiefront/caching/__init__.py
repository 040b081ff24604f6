"""A shared HTTP cache (RFC 9111) as a request stage in front of the proxy."""
