"""The gateway between two sites: forwards requests to the site that serves their key."""
