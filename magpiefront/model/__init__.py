"""Simulations of the production code in simulated time, with clocks, networks and disks that fail by a seeded
plan."""
