"""Entry point of `python -m pollengated`."""

from pollengated.main import main

__all__: list[str] = []

main(prog_name="pollengated")
