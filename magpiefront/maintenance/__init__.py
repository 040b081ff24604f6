"""Machine maintenance: the proxies of a site agree on which machines may be taken out of use, and when."""
