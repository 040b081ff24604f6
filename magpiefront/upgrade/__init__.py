"""Upgrades without downtime: a new process takes over from the one that serves.

The new process gets the listening sockets, the state and the idle connections of the old one. `handover` is
the protocol; `channel`, `state`, `old_process` and `new_process` carry it out.
"""
