"""Real proxies before stand-in nodes whose answers name their requests, under drawn faults."""
