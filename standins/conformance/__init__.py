"""Conformance tests of HTTP caching (RFC 9111 and related RFCs): a scripted origin, a client and a table."""
