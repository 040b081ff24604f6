"""The proxy on real sockets: listeners, connections and protocols around the decision module."""
