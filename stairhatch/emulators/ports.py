"""Ports for tests and benchmarks: owns the question to the system which are free. It never holds one."""

from __future__ import annotations

import socket


def free_port(host: str = "127.0.0.1") -> int:
    """A port that the system says is free there, over TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((host, 0))
            try:
                udp.bind(tcp.getsockname())
            except OSError:
                continue
            return int(tcp.getsockname()[1])
