"""What RFC 9111 and its kin ask of a shared cache, played against a proxy before a scripted archive."""
