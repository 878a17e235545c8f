"""Transport of peer messages over TCP; implements `PeerLink`.

Each instance opens one connection to each peer that it sends to. Frames travel on it in
one direction only; the receiver returns single bytes as acknowledgements. Frames that
are queued in one iteration of the event loop leave in one write, and one timer serves
the acknowledgements of all connections.
"""

import asyncio
from collections.abc import Callable

import anyio

from .const import ACKNOWLEDGE_INTERVAL_S, LISTEN_BACKLOG
from .counters import PeerCounters
from .errors import PeerDecodeError
from .frame import FrameCodec
from .receiver import IncomingConnection, ReceiverParts
from .registry import Envelope
from .sender import PeerSender, SenderParts


class PeerTransport:
    """Receives messages from peers, and keeps a sender for each peer sent to."""

    def __init__(
        self, codec: FrameCodec, on_envelope: Callable[[Envelope], object]
    ) -> None:
        self.counters = PeerCounters()
        self._codec = codec
        self._on_envelope = on_envelope
        self._senders: dict[str, PeerSender] = {}
        self._addresses: dict[str, str] = {}
        self._sender_parts = SenderParts(
            self.counters, self._request_flush, self._request_check
        )
        self._receiver_parts = ReceiverParts(
            self._accept_frame, self._reject_stream, self._request_acknowledgement
        )
        # None unless messages are being received.
        self._loop: asyncio.AbstractEventLoop | None = None
        self._unflushed: dict[PeerSender, None] = {}
        self._unchecked: set[PeerSender] = set()
        self._unacknowledged: set[IncomingConnection] = set()
        self._check_timer: asyncio.TimerHandle | None = None

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Set the peer addresses of instances; others keep theirs."""
        for instance, address in addresses.items():
            sender = self._senders.get(instance)
            if sender is not None and sender.address != address:
                sender.close()
                del self._senders[instance]
        self._addresses.update(addresses)

    def send(self, envelope: Envelope) -> None:
        """Queue a message; drop it if its receiver's address or a secret is missing."""
        sender = self._get_sender(envelope.receiver)
        if sender is None or not self._codec.secrets:
            self.counters.dropped_frames += 1
            return
        sender.enqueue_frame(self._codec.encode_frame(envelope))

    async def async_serve(self, host: str, port: int) -> None:
        """Accept connections and pass on received messages until cancelled."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: IncomingConnection(self._receiver_parts),
            host,
            port,
            backlog=LISTEN_BACKLOG,
        )
        self._loop = loop
        try:
            await anyio.sleep_forever()
        finally:
            self._loop = None
            server.close()
            self._close_connections()

    def _close_connections(self) -> None:
        if self._check_timer is not None:
            self._check_timer.cancel()
            self._check_timer = None
        for sender in self._senders.values():
            sender.close()
        self._senders.clear()
        for conn in list(self._receiver_parts.connections):
            conn.abort()

    def _get_sender(self, instance: str) -> PeerSender | None:
        """Return the sender of an instance; start one if its address is known."""
        sender = self._senders.get(instance)
        address = self._addresses.get(instance)
        if sender is None and address is not None and self._loop is not None:
            sender = PeerSender(address, self._sender_parts)
            self._senders[instance] = sender
        return sender

    # Sending

    def _request_flush(self, sender: PeerSender) -> None:
        if not self._unflushed and self._loop is not None:
            self._loop.call_soon(self._flush_senders)
        self._unflushed[sender] = None

    def _flush_senders(self) -> None:
        senders, self._unflushed = self._unflushed, {}
        for sender in senders:
            sender.flush()

    # Acknowledgements

    def _request_check(self, sender: PeerSender) -> None:
        self._unchecked.add(sender)
        self._schedule_check()

    def _request_acknowledgement(self, conn: IncomingConnection) -> None:
        self._unacknowledged.add(conn)
        self._schedule_check()

    def _schedule_check(self) -> None:
        if self._check_timer is None and self._loop is not None:
            self._check_timer = self._loop.call_later(
                ACKNOWLEDGE_INTERVAL_S, self._check_connections
            )

    def _check_connections(self) -> None:
        """Send acknowledgements, and close the connections of silent peers."""
        self._check_timer = None
        connections, self._unacknowledged = self._unacknowledged, set()
        for conn in connections:
            conn.send_acknowledgement()
        senders, self._unchecked = self._unchecked, set()
        for sender in senders:
            if sender.check_acknowledgement():
                self._request_check(sender)

    # Receiving

    def _accept_frame(self, frame: bytes) -> None:
        """Pass on the message of a frame; an invalid frame is only counted."""
        try:
            envelope = self._codec.decode_frame(frame)
        except PeerDecodeError:
            self.counters.rejected_frames += 1
            return
        self.counters.received_frames += 1
        self._on_envelope(envelope)

    def _reject_stream(self) -> None:
        self.counters.rejected_frames += 1
