"""Tests of the ports that tools/deployment.py uses.

Guards against a demo that fails because another process uses one of its ports,
and against two deployments that share ports.
"""
import pathlib
import socket
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

import port_range  # noqa: E402


class PortRangeTest(unittest.TestCase):
    def reserve(self):
        ports = port_range.reserve()
        self.addCleanup(ports.marker.close)
        return ports

    def listen(self, port):
        server = socket.socket()
        self.addCleanup(server.close)
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind(("127.0.0.1", port))
        server.listen()
        return server

    def test_a_range_with_a_port_in_use_is_left_out(self):
        for used in ("control", "member", "worker"):
            with self.subTest(used=used):
                free = self.reserve()
                free.marker.close()
                port = getattr(free, used)
                self.listen(port if isinstance(port, int) else port(7))
                self.assertNotEqual(self.reserve().first, free.first)

    def test_two_deployments_share_no_port(self):
        self.assertNotEqual(self.reserve().first, self.reserve().first)

    def test_ports_of_an_earlier_run_are_used_again(self):
        ports = self.reserve()
        server = self.listen(ports.store)
        caller = socket.create_connection(("127.0.0.1", ports.store))
        accepted, _ = server.accept()
        # The side that closes first keeps the port for a while.
        accepted.close()
        caller.close()
        server.close()
        self.assertTrue(port_range.is_free(ports.store))

    def test_members_and_workers_share_no_port(self):
        ports = port_range.PortRange(20000)
        self.assertLess(ports.member(50), ports.worker(0))
        self.assertLess(ports.worker(500), 20000 + port_range.PORTS_PER_RANGE)


if __name__ == "__main__":
    unittest.main()
