"""The `pollengate` command line for operators and callers."""
