"""Generated message classes."""
