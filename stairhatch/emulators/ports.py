"""Addresses and free ports of the local machine, for tests, loads and benchmarks. No port is reserved."""

from __future__ import annotations

import socket

Address = tuple[str, int]  # host and port


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port of a host that is free for both TCP and UDP at the time of the call."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((host, 0))
            try:
                udp.bind(tcp.getsockname())
            except OSError:
                continue
            return int(tcp.getsockname()[1])
