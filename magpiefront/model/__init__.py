"""Simulated time: the code that ships, on clocks, nets and disks that a seed makes fail."""
