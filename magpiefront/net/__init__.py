"""The real proxy: sockets round the decision module."""
