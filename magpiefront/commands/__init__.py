"""The command line, one module a group of commands, loaded when asked for."""
