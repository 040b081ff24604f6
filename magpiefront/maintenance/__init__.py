"""Machines out for work, in an order that the proxies of a site settle among themselves."""
