"""Addresses and free ports of this machine, for tests, loads and benchmarks. No port is held."""

from __future__ import annotations

import socket

Address = tuple[str, int]  # host and port


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that the system says is free on a host, over TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((host, 0))
            try:
                udp.bind(tcp.getsockname())
            except OSError:
                continue
            return int(tcp.getsockname()[1])
