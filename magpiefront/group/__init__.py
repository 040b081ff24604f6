"""Proxies of one site that agree: who is there, one ordered log, leases. Off without `[group]`."""
