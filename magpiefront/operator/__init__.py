"""The operator's file, and the stages that it asks for. Nothing here is imported without one."""
