"""The edge role: accepts jobs from clients and runs them on the workers of the platform."""
