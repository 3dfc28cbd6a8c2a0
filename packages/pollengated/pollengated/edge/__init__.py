"""The role that takes jobs from clients and runs them on workers of the users' platform."""
