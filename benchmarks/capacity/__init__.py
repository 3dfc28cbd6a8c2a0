"""Measures how cost grows with size and computes the tables of docs/CAPACITY.md."""
