"""Fault matrix."""
