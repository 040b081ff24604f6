"""magpiefront: the decisions of a router in front of a fleet of cache servers."""

from magpiefront.brain import Router

__all__ = ["Router"]
