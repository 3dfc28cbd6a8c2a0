"""Tests of the run on the loopback interface."""

import unittest
from pathlib import Path

from scripts.local_run import free_addresses


class FreeAddressesTest(unittest.TestCase):
    """A process under test can bind the address that it was given."""

    def test_outgoing_connection_cannot_take_the_port_of_a_process_that_starts_later(self) -> None:
        limits = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()
        ports = {int(address.rpartition(":")[2]) for address in free_addresses(50)}
        self.assertEqual(50, len(ports))
        self.assertLess(max(ports), int(limits[0]))


if __name__ == "__main__":
    unittest.main()
