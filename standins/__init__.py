"""Stand-ins for what surrounds the program: nodes, archives, discovery, clients, and a link with faults.

`magpiefront` imports nothing from here, and nothing here is built on it: a checker that shared its code would
share its mistakes. All faults are drawn from a seed.
"""
