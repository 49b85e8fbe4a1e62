"""Asks other gateways by datagram whether a content may be sent.

Few contents come twice, so the end of a send is told only if a copy asks.
"""

from collections.abc import Callable
import dataclasses
import itertools
import socket
import struct
import time

import curio
import curio.io
import curio.socket

import banyandale_core as core
from banyandale_direct import _fingerprints as fingerprints
from banyandale_direct import _first_sends as first_sends

MAX_DATAGRAM_BYTES = 512
# Longest wait of a first send for its decision: a round trip of at most 8 ms
# and two wake-ups. Without one the call is sent.
DECISION_SECONDS = 0.03
# Longest wait of a send that is known to have a copy; by then the gateway that
# decides has ended.
REPEATED_DECISION_SECONDS = 0.25
# A gateway that did not answer is not asked for this long, unless it is heard
# of. By then the others no longer count it as live.
SILENT_SECONDS = 3.0
# Gateways of which the first that is not silent decides.
DECIDING_GATEWAYS = 2
# Longest lease of a send in progress, which its holder extends.
MAX_LEASE_SECONDS = 10.0
# A send counts as ended after this long.
OPEN_SECONDS = 120.0
# Kind, content, number of the send and lease in milliseconds.
_REQUEST = struct.Struct(f"!B{fingerprints.FINGERPRINT_BYTES}sQI")
# Decision and number of the send.
_DECISION = struct.Struct("!BQ")
(
    _ASK,
    _ASK_TRIAL,
    # Asks the holder of a lease whether its send has ended.
    _CHECK,
    _ENDED,
    _ENDED_ANSWERED,
) = range(16, 21)


@dataclasses.dataclass(kw_only=True, slots=True)
class Ask:
    """A question about one send, and its decision once that is there.

    Attributes:
        fingerprint: The content.
        number: Number of the send at this gateway.
        ip: IP address of the gateway that decides.
        decide_by: Monotonic seconds until when to wait for the decision.
        lease_until: Monotonic seconds until when other sends are held back.
        decision: The decision, or None as long as there is none.
        decided: Set with the decision.
    """

    fingerprint: bytes
    number: int
    ip: str
    decide_by: float
    lease_until: float
    decision: first_sends.Decision | None = None
    decided: curio.Event = dataclasses.field(default_factory=curio.Event)


class SendPermits:
    """Questions to other gateways, and the answers to theirs."""

    def __init__(
        self,
        *,
        own_ip: str,
        port: int,
        list_deciders: Callable[[bytes], list[str]],
        decider: first_sends.Decider,
        answered: first_sends.RecentContents,
        events: core.EventLog,
        metrics: core.Metrics,
    ) -> None:
        """Binds the UDP socket.

        Args:
            own_ip: IP address of this gateway.
            port: UDP port of all gateways for these datagrams.
            list_deciders: Returns the gateways in the order in which they
                decide about a content.
            decider: Decides about the contents assigned to this gateway.
            answered: Contents that need no permission.
            events: Log of the process.
            metrics: Counters of the process.
        """
        self._own_ip = own_ip
        self._port = port
        self._list_deciders = list_deciders
        self._decider = decider
        self._answered = answered
        self._events = events
        self._metrics = metrics
        # Holders of an earlier process at this address are others.
        self._first_number = time.time_ns()
        self._numbers = itertools.count(self._first_number)
        # Sends in progress with the monotonic time until which they are kept,
        # oldest first, and questions without a decision.
        self._open: dict[int, float] = {}
        self._asks: dict[int, Ask] = {}
        # Monotonic time until which a gateway is not asked.
        self._silent_until: dict[str, float] = {}
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((own_ip, port))
        self._sock: curio.io.Socket = sock

    async def close(self) -> None:
        """Closes the socket."""
        await self._sock.close()

    def name_holder(self, number: int) -> str:
        """Returns the holder of a send of this gateway."""
        return f"{self._own_ip}-{number}"

    def draw_number(self) -> int:
        """Returns the number of another send."""
        return next(self._numbers)

    async def ask(
        self,
        fingerprint: bytes,
        *,
        number: int,
        lease_seconds: float,
        trial: bool = False,
        wait_seconds: float = DECISION_SECONDS,
    ) -> Ask:
        """Asks whether a send may begin; `wait` returns the decision.

        Args:
            fingerprint: The content.
            number: Number of the send.
            lease_seconds: Time after which other sends may begin.
            trial: Whether the content is a suspect.
            wait_seconds: Longest wait for the decision.
        """
        now = time.monotonic()
        lease_seconds = min(lease_seconds, MAX_LEASE_SECONDS)
        asked = Ask(
            fingerprint=fingerprint,
            number=number,
            ip=self._choose_decider(fingerprint, now),
            decide_by=now + wait_seconds,
            lease_until=now + lease_seconds,
        )
        if asked.ip == self._own_ip:
            asked.decision = self._decide(
                fingerprint, self._own_ip, number, lease_seconds, trial
            )
            if asked.decision is first_sends.Decision.BUSY:
                await self._check_holder(fingerprint)
            return asked
        self._asks[number] = asked
        self._keep_open(number, now)
        await self.send_bytes(
            asked.ip,
            _REQUEST.pack(
                _ASK_TRIAL if trial else _ASK,
                fingerprint,
                number,
                int(lease_seconds * core.MILLISECONDS_PER_SECOND),
            ),
        )
        return asked

    def _choose_decider(self, fingerprint: bytes, now: float) -> str:
        deciders = self._list_deciders(fingerprint)
        for ip in deciders[:DECIDING_GATEWAYS]:
            if self._silent_until.get(ip, now) <= now:
                return ip
        return deciders[0]

    def _keep_open(self, number: int, now: float) -> None:
        """Remembers a send; one that silenced its server is never ended."""
        self._open[number] = now + OPEN_SECONDS
        while (oldest := next(iter(self._open))) != number:
            if self._open[oldest] > now:
                break
            del self._open[oldest]

    async def wait(self, asked: Ask) -> first_sends.Decision | None:
        """Returns the decision about a send, or None without an answer.

        A decision that comes too late still takes effect when it arrives.
        """
        left = asked.decide_by - time.monotonic()
        if asked.decision is None and left > 0:
            async with curio.ignore_after(left):
                await asked.decided.wait()
            if asked.decision is None:
                self._metrics.incr("first_sends:unanswered")
                self._silent_until[asked.ip] = time.monotonic() + SILENT_SECONDS
        return asked.decision

    def end(self, fingerprint: bytes, *, number: int, ip: str) -> None:
        """Ends a send; the gateway that decided hears of it when it asks."""
        self._asks.pop(number, None)
        self._open.pop(number, None)
        if ip == self._own_ip:
            self._release(fingerprint, ip, number, answered=False)

    async def receive(self) -> None:
        """Receives questions and decisions in an endless loop."""
        while True:
            data, (ip, _) = await self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            self._silent_until.pop(ip, None)
            if len(data) == _DECISION.size:
                await self._receive_decision(data)
            elif len(data) == _REQUEST.size:
                await self._receive_request(data, ip)
            else:
                self._metrics.incr("first_sends:malformed")

    async def _receive_decision(self, data: bytes) -> None:
        value, number = _DECISION.unpack(data)
        asked = self._asks.pop(number, None)
        try:
            decision = first_sends.Decision(value)
        except ValueError:
            self._metrics.incr("first_sends:malformed")
            return
        if asked is None:
            return
        self._metrics.incr(f"first_sends:{decision.name.lower()}")
        asked.decision = decision
        if decision is first_sends.Decision.ANSWERED:
            self._answered.add(asked.fingerprint, now=core.boot_seconds())
        await asked.decided.set()

    async def _receive_request(self, data: bytes, ip: str) -> None:
        kind, fingerprint, number, lease_ms = _REQUEST.unpack(data)
        if kind in (_ASK, _ASK_TRIAL):
            seconds = lease_ms / core.MILLISECONDS_PER_SECOND
            decision = self._decide(
                fingerprint,
                ip,
                number,
                min(seconds, MAX_LEASE_SECONDS),
                kind == _ASK_TRIAL,
            )
            await self.send_bytes(ip, _DECISION.pack(decision, number))
            if decision is first_sends.Decision.BUSY:
                await self._check_holder(fingerprint)
        elif kind == _CHECK:
            await self._answer_check(fingerprint, number, ip)
        elif kind in (_ENDED, _ENDED_ANSWERED):
            self._release(
                fingerprint, ip, number, answered=kind == _ENDED_ANSWERED
            )
        else:
            self._metrics.incr("first_sends:malformed")

    async def _check_holder(self, fingerprint: bytes) -> None:
        """Asks whether the send that others wait for has ended."""
        holder = self._decider.find_holder(fingerprint)
        if holder is None:
            return
        ip, _, number = holder.rpartition("-")
        if ip != self._own_ip:
            await self.send_bytes(
                ip, _REQUEST.pack(_CHECK, fingerprint, int(number), 0)
            )

    async def _answer_check(
        self, fingerprint: bytes, number: int, ip: str
    ) -> None:
        if number < self._first_number:
            # Nothing is known of the sends of an earlier process.
            return
        answered = self._answered.contains(fingerprint, now=core.boot_seconds())
        if number in self._open and not answered:
            return
        kind = _ENDED_ANSWERED if answered else _ENDED
        await self.send_bytes(ip, _REQUEST.pack(kind, fingerprint, number, 0))

    def _release(
        self, fingerprint: bytes, ip: str, number: int, *, answered: bool
    ) -> None:
        self._decider.release(
            fingerprint,
            holder=f"{ip}-{number}",
            answered=answered,
            now=core.boot_seconds(),
        )

    def _decide(
        self,
        fingerprint: bytes,
        ip: str,
        number: int,
        lease_seconds: float,
        trial: bool,
    ) -> first_sends.Decision:
        now = core.boot_seconds()
        return self._decider.decide(
            fingerprint,
            holder=f"{ip}-{number}",
            until=now + lease_seconds,
            now=now,
            trial=trial,
        )

    async def send_bytes(self, ip: str, data: bytes) -> None:
        """Sends a datagram, without certainty that it arrives."""
        try:
            await self._sock.sendto(data, (ip, self._port))
        except OSError as error:
            self._metrics.incr("first_sends:unsent")
            self._events.write("permit_unsent", ip=ip, error=str(error))
