"""Measurements that the design notes and the capacity page quote."""
