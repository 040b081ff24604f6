"""The gateway between two sites: which requests cross, how, and what is known of those that broke."""
