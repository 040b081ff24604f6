"""Runs the production code in simulated time, with clocks, networks and disks that fail according to a plan
drawn from a seed."""
