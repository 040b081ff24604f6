"""Consensus among the proxies of one site: members, a replicated log and leases. Off without `[group]`."""
