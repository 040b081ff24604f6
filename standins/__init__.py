"""Stand-ins for what lies round the program: nodes, archives, discovery, clients, and a link that fails.

Nothing here is imported by `magpiefront`, and nothing here is built on it: what judges must not share its
mistakes. Everything that fails does so from a seed.
"""
