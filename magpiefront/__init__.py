"""magpiefront: the decisions of a router in front of a fleet of cache servers."""

from magpiefront.router import Router

__all__ = ["Router"]
