"""Ports for processes that tests start."""

import pathlib
from typing import Final
import unittest

from bench import ports
from tests import loopback

OUTGOING_PORTS: Final = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


class PortsTest(unittest.TestCase):
    def test_no_outgoing_connection_can_take_a_picked_port(self) -> None:
        first_outgoing = int(OUTGOING_PORTS.read_text("ascii").split()[0])
        picked = [ports.pick_port() for _ in range(100)]
        picked += loopback.find_free_ports(100)
        self.assertLess(max(picked), first_outgoing)
        self.assertEqual(len(set(picked)), len(picked))
