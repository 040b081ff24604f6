"""The operator's file and the stages that it configures. Imported only if there is such a file."""
