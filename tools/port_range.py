"""Loopback ports of a deployment, reserved for it until the process ends."""
import errno
import functools
import os
import socket

# Below the usual ephemeral ports, and apart from the ports of the C++ tests.
FIRST_RANGE = 20000
END_OF_RANGES = 32000
# A deployment uses fewer.
PORTS_PER_RANGE = 2000
FIRST_MEMBER = 100
PORTS_PER_MEMBER = 10
FIRST_WORKER = 1001


def bind(port, reuse):
    """Returns a bound socket, or None if the port is in use."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    if reuse:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind(("127.0.0.1", port))
    except OSError as failure:
        bound.close()
        if failure.errno != errno.EADDRINUSE:
            raise
        return None
    return bound


def is_free(port):
    # As servers bind: closed connections of an earlier run do not matter.
    bound = bind(port, reuse=True)
    if bound is None:
        return False
    bound.close()
    return True


class PortRange:
    """Consecutive ports. The first one stays bound as a sign to others."""

    def __init__(self, first, marker=None):
        self.first = first
        self.marker = marker
        self.store = first + 1
        self.list = first + 2
        self.control = first + 3

    def member(self, index):
        return self.first + FIRST_MEMBER + index * PORTS_PER_MEMBER

    def worker(self, index):
        return self.first + FIRST_WORKER + index


def reserve():
    """Returns a range without a port in use, which no other caller gets."""
    for first in range(FIRST_RANGE, END_OF_RANGES, PORTS_PER_RANGE):
        marker = bind(first, reuse=False)
        if marker is None:
            continue
        if all(map(is_free, range(first + 1, first + PORTS_PER_RANGE))):
            return PortRange(first, marker)
        marker.close()
    raise OSError(f"no {PORTS_PER_RANGE} loopback ports are free")


@functools.cache
def of_this_process():
    chosen = os.environ.get("PIMENTOGRADE_FIRST_PORT")
    return PortRange(int(chosen)) if chosen else reserve()
