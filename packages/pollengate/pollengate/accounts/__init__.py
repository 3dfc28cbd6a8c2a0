"""Client accounts: what each has running, and the order among their jobs."""
