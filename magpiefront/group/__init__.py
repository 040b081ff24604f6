"""Consensus among the proxies of one site: members, a replicated log and leases. Disabled without `[group]`
in the operator's file."""
