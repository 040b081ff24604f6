"""Real proxies in front of stand-in nodes whose answers name their requests, under randomly drawn faults."""
