"""Ordinary callers beside hostile clients: they ask for calls at a low rate and note each answer."""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from benchmarks.hostile_clients.behaviours import call_ids, request, setup
from stairhatch.emulators.ports import Address
from stairhatch.node import sip_parser

CALL_INTERVAL_S = 0.1
CALL_DURATION_S = 0.5
LAST_ANSWERS_S = 3.5  # the callers' timeout is 3 s


@dataclass(slots=True)
class Answers:
    """The final answers that ordinary callers got, and the times until then in seconds."""

    placed: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    delays_s: list[float] = field(default_factory=list)

    def summary(self) -> str:
        """Return the counts by status, and the median and longest delay, as one line of text."""
        delays = sorted(self.delays_s) or [float("nan")]
        counts = " ".join(f"{status}:{count}" for status, count in sorted(self.statuses.items()))
        median_ms, longest_ms = 1000 * delays[len(delays) // 2], 1000 * delays[-1]
        return f"placed {self.placed} answered {counts} median {median_ms:.0f} ms longest {longest_ms:.0f} ms"


class OrdinaryCaller:
    """One connection of an ordinary caller, with a reading thread."""

    def __init__(self, address: Address) -> None:
        self.answers = Answers()
        self._sent_at: dict[str, float] = {}
        self._to_release: list[tuple[float, str]] = []
        self._socket = socket.create_connection(address, timeout=5.0)
        self._socket.settimeout(None)
        threading.Thread(target=self._read, daemon=True).start()

    def place_calls(self, seconds: float) -> None:
        """Place calls for a time and release those that were established; then wait for the last answers."""
        ids, until = call_ids(), time.monotonic() + seconds
        while time.monotonic() < until:
            self._place_call(next(ids))
            self._release_due()
            time.sleep(CALL_INTERVAL_S)
        last = time.monotonic() + LAST_ANSWERS_S
        while self._sent_at and time.monotonic() < last:
            time.sleep(CALL_INTERVAL_S)

    def _place_call(self, call_id: str) -> None:
        self.answers.placed += 1
        self._sent_at[call_id] = time.monotonic()
        self._socket.sendall(setup(call_id))

    def _release_due(self) -> None:
        while self._to_release and self._to_release[0][0] <= time.monotonic():
            self._socket.sendall(request("BYE", self._to_release.pop(0)[1]))

    def _read(self) -> None:
        parser = sip_parser.StreamParser()
        while data := self._socket.recv(65536):
            parser.feed(data)
            while (message := parser.next_message()) is not None:
                self._answered(message.get("call-id"), message.status, message.cseq()[1])

    def _answered(self, call_id: str, status: int, method: str) -> None:
        sent_at = self._sent_at.pop(call_id, None) if method == "INVITE" and status >= 200 else None
        if sent_at is None:
            return
        now = time.monotonic()
        self.answers.delays_s.append(now - sent_at)
        self.answers.statuses[status] += 1
        if status == 200:
            self._to_release.append((now + CALL_DURATION_S, call_id))
