"""Operator commands of the command line. Each module is imported only if one of its commands is given."""
