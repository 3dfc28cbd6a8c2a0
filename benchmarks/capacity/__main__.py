"""Runs every measurement and rewrites docs/capacity.json and the tables of docs/CAPACITY.md."""

from benchmarks.capacity.measurements import measure, write
from benchmarks.capacity.page import write_page

if __name__ == "__main__":
    measurements = measure()
    write(measurements)
    write_page(measurements)
