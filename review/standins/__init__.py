"""Stand-ins of the review's cases, and what starts the program's processes."""
