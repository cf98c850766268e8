"""Runs the program as a process, started as by the platform or an operator and observed by its log."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

from stairhatch.emulators.ports import free_port

from .paths import APPLIANCE_TOML, ROOT
from .platform_config import platform_config
from .scripted_coordinator import ScriptedCoordinator
from .scripted_server import ScriptedServer
from .sip_caller import SipCaller
from .waiting import WAIT_LIMIT_S, wait_until

# A process that lowers its descriptor limit (RLIMIT_NOFILE) and then executes the program.
LIMIT_DESCRIPTORS = (
    "import os, resource, sys; most = int(sys.argv[1]); "
    "resource.setrlimit(resource.RLIMIT_NOFILE, (most, most)); os.execv(sys.argv[2], sys.argv[2:])"
)


class Program:
    """A process of the program on free ports.

    The class methods start the process again if another process has taken one of its ports.
    """

    descriptor_limit = 0  # descriptor limit of the process (RLIMIT_NOFILE); 0: the limit of the tests

    def __init__(
        self, folder: Path, *arguments: str, inherited: tuple[int, ...] = (), **environ: str
    ) -> None:
        self.path = folder  # later the path of the configuration file
        self.address = ("", 0)  # of the listener for callers
        self.admin_address = ("", 0)
        self.log = folder / f"log-{time.monotonic_ns()}.txt"
        with self.log.open("wb") as file:
            self.start(folder, file, *arguments, inherited=inherited, **environ)

    def start(
        self, folder: Path, output: Any, *arguments: str, inherited: tuple[int, ...] = (), **environ: str
    ) -> None:
        """Start the process; `output`, a file or a pipe, receives its log.

        The process inherits the descriptors in `inherited`.
        """
        env = {**os.environ, "STAIRHATCH_TRACE": "1", "TMPDIR": str(folder), **environ}
        limit = self.descriptor_limit
        limited = [sys.executable, "-c", LIMIT_DESCRIPTORS, str(limit)] if limit else []
        self.process = subprocess.Popen(
            [*limited, sys.executable, "-m", "stairhatch", *arguments],
            cwd=ROOT, env=env, stdin=subprocess.PIPE, stdout=output, stderr=output,
            pass_fds=inherited,
        )  # fmt: skip

    @classmethod
    def on_platform(
        cls,
        folder: Path,
        coordinator: ScriptedCoordinator,
        settings: dict[str, Any] | None = None,
        sockets: int = 1024,
    ) -> Program:
        """Start the program with the platform's configuration and wait until it is ready."""
        port, admin_port = free_port(), free_port()
        path = folder / "config.json"
        path.write_text(json.dumps(platform_config(coordinator, port, admin_port, settings, sockets)))
        program = cls(folder, RELAY_CONFIG=str(path)).wait_until_ready(port, admin_port)
        if program is None:
            return cls.on_platform(folder, coordinator, settings, sockets)
        program.path = path
        return program

    @classmethod
    def on_socket(
        cls, folder: Path, sock: socket.socket, coordinator: ScriptedCoordinator, known: dict[str, Any]
    ) -> Program:
        """Start the program on a listening socket that the platform owns and other processes may share.

        The process has an admin endpoint of its own.
        """
        port, admin_port = sock.getsockname()[1], free_port()
        path = folder / "config.json"
        path.write_text(json.dumps({**platform_config(coordinator, port, 1), "known": known}))
        program = cls(
            folder, inherited=(sock.fileno(),), RELAY_CONFIG=str(path),
            RELAY_CONSOLE=f"127.0.0.1:{admin_port}", RELAY_INHERITED_FD=str(sock.fileno()),
        ).wait_until_ready(port, admin_port)  # fmt: skip
        if program is None:
            return cls.on_socket(folder, sock, coordinator, known)
        program.path = path
        return program

    @classmethod
    def as_appliance(cls, folder: Path, *servers: ScriptedServer, syslog: str = "") -> Program:
        """Start the appliance with a copy of deploy/sip.toml that has free ports and the servers' ports."""
        text = APPLIANCE_TOML.read_text()
        port, admin_port = free_port(), free_port()
        addresses = {"127.0.0.1:5060": f"127.0.0.1:{port}", "127.0.0.1:5070": f"127.0.0.1:{admin_port}"}
        addresses.update(
            {f"127.0.0.1:{7001 + index}": f"127.0.0.1:{server.port}" for index, server in enumerate(servers)}
        )
        text = re.sub(r"127\.0\.0\.1:\d+", lambda found: addresses.get(found[0], found[0]), text)
        text = text.replace("[sip]", "[sip]\nrestart_wait_s = 0.2", 1)
        if syslog:
            text = text.replace('# syslog = "127.0.0.1:514"', f'syslog = "{syslog}"')
        path = folder / "sip.toml"
        path.write_text(text)
        program = cls(folder, "--sip", str(path)).wait_until_ready(port, admin_port)
        if program is None:
            return cls.as_appliance(folder, *servers, syslog=syslog)
        program.path = path
        return program

    def serve_again(self, text: str) -> Program:
        """Start the ended appliance again by the command `serve`, with `text` as its configuration file.

        The new process uses the same ports, or new ones if another process has taken one of them.
        """
        port, admin_port = self.address[1], self.admin_address[1]
        while True:
            self.path.write_text(text)
            command = ("serve", str(self.path))
            program = Program(self.path.parent, *command).wait_until_ready(port, admin_port)
            if program is not None:
                program.path = self.path
                return program
            new_port, new_admin_port = free_port(), free_port()
            text = text.replace(f':{port}"', f':{new_port}"').replace(
                f':{admin_port}"', f':{new_admin_port}"'
            )
            port, admin_port = new_port, new_admin_port

    def wait_until_ready(self, port: int, admin_port: int) -> Program | None:
        """Wait until the program is ready and return it; None if another process has taken a port."""
        self.address, self.admin_address = ("127.0.0.1", port), ("127.0.0.1", admin_port)
        wait_until(lambda: " ready " in self.log_text() or self.process.poll() is not None, "the ready event")
        port_is_taken = "can't listen" in self.log_text()
        assert port_is_taken or self.process.poll() is None, self.log_text()
        return None if port_is_taken else self

    def wait_until_serving(self) -> Program:
        """Wait until the admin command `check` answers `ok`; return the program."""
        wait_until(lambda: self.admin_command("check").startswith("ok"), "the answer ok to the command check")
        return self

    def reload(self, text: str) -> dict[str, str]:
        """Replace the configuration file, send SIGHUP and return the fields of the log event `reload`."""
        previous_count = len(self.log_events("reload"))
        self.path.write_text(text)
        self.process.send_signal(signal.SIGHUP)
        wait_until(
            lambda: len(self.log_events("reload")) > previous_count or self.process.poll() is not None,
            "the reload",
        )
        assert self.process.poll() is None, self.log_text()
        return self.log_events("reload")[-1]

    def counters(self) -> Counter[str]:
        """Send SIGUSR1 and return the counters that the program then logs."""
        previous_count = len(self.log_events("counters"))
        self.process.send_signal(signal.SIGUSR1)
        wait_until(lambda: len(self.log_events("counters")) > previous_count, "the counters")
        fields = self.log_events("counters")[-1]
        return Counter({name: int(value) for name, value in fields.items() if value.isdigit()})

    def log_text(self) -> str:
        """Return the log that the program has written so far."""
        return self.log.read_text()

    def log_events(self, event: str) -> list[dict[str, str]]:
        """Return the fields of all log lines of an event; the field `at` is the time of the line."""
        events = []
        for line in self.log_text().splitlines():
            words = line.split(" ")
            if len(words) > 1 and words[1] == event:
                pairs = (word.split("=", 1) for word in words[2:] if "=" in word)
                events.append({"at": words[0], **dict(pairs)})
        return events

    def admin_command(self, line: str | bytes, half_closes: bool = False) -> str:
        """Send a line to the admin endpoint and return its answer, which has to be one line.

        If `half_closes` is set, the client shuts down its sending side after the line.
        """
        with socket.create_connection(self.admin_address, WAIT_LIMIT_S) as sock:
            sock.sendall(line if isinstance(line, bytes) else line.encode() + b"\n")
            if half_closes:
                sock.shutdown(socket.SHUT_WR)
            data = b""
            while chunk := sock.recv(4096):
                data += chunk
        assert data.endswith(b"\n"), data
        assert data.count(b"\n") == 1, data
        return data.decode().strip()

    def type_command(self, command: str) -> None:
        """Type a command at the appliance's terminal console."""
        assert self.process.stdin is not None
        self.process.stdin.write(command.encode() + b"\n")
        self.process.stdin.flush()

    def health_check_status(self) -> int:
        """Send OPTIONS on a new connection, as a frontend's health check does, and return the status."""
        caller = self.caller()
        caller.send("OPTIONS", "sip:ping@net", {"call-id": "p", "cseq": "1 OPTIONS"})
        status = wait_until(lambda: caller.received)[0][1].status
        caller.close()
        return status

    def caller(self) -> SipCaller:
        """Return a new caller, which is connected to the program by TCP."""
        return SipCaller(self.address)

    def suspend(self) -> None:
        """Send SIGSTOP, which acts like a machine without CPU time; return once the process is stopped."""
        self.process.send_signal(signal.SIGSTOP)
        stat = Path(f"/proc/{self.process.pid}/stat")
        wait_until(
            lambda: stat.read_text().rpartition(")")[2].split()[0] == "T", "the stopped state of the process"
        )

    def resume(self) -> None:
        """Send SIGCONT, so that a suspended process continues."""
        self.process.send_signal(signal.SIGCONT)

    def stop(self) -> int:
        """Send SIGTERM, wait until the process has ended and return its exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(WAIT_LIMIT_S)

    def kill(self) -> None:
        """Send SIGKILL, which ends the process as abruptly as a crash, and wait until it has ended."""
        self.process.kill()
        self.process.wait(WAIT_LIMIT_S)
