"""Transport of peer messages over TCP; implements `PeerLink`.

Each instance opens one connection to each peer that it sends to. Frames travel on it in
one direction only; the receiver returns single bytes as acknowledgements.
"""

import time
from collections.abc import Callable

import anyio
import attrs
import structlog
from anyio.abc import SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from .const import FRAME_MAX_BYTES, LENGTH_PREFIX_BYTES
from .errors import PeerDecodeError
from .frame import FrameCodec, add_length_prefix
from .registry import Envelope

SEND_QUEUE_MAX_FRAMES = 1024
CONNECT_TIMEOUT_S = 0.5
ACKNOWLEDGE_INTERVAL_S = 0.3
# A connection is closed when sent frames stay unacknowledged for this long.
ACKNOWLEDGE_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.1
CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
)


_LOG = structlog.get_logger()


@attrs.define
class PeerCounters:
    """Counters of the transport, for metrics."""

    sent_frames: int = 0
    sent_bytes: int = 0
    received_frames: int = 0
    rejected_frames: int = 0
    dropped_frames: int = 0
    silent_connections: int = 0


class PeerSender:
    """Sends frames to one instance; drops them while it cannot be reached."""

    def __init__(self, address: str, counters: PeerCounters) -> None:
        self.address = address
        self._counters = counters
        self._is_lost = False
        self._queue_input, self._queue_output = anyio.create_memory_object_stream[
            bytes
        ](SEND_QUEUE_MAX_FRAMES)
        self._cancel_scope = anyio.CancelScope()

    def enqueue_frame(self, frame: bytes) -> None:
        """Queue a frame; drop it if the queue is full."""
        try:
            self._queue_input.send_nowait(frame)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            self._counters.dropped_frames += 1

    def close(self) -> None:
        """Stop sending and close the connection."""
        self._cancel_scope.cancel()

    async def async_run(self) -> None:
        """Send queued frames until closed, and reconnect after failures."""
        with self._cancel_scope:
            while True:
                frame = await self._queue_output.receive()
                reason = "silent_or_closed"
                try:
                    await self._async_send_frames(frame)
                except* CONNECTION_ERRORS as group:
                    reason = ", ".join(type(exc).__name__ for exc in group.exceptions)
                self._counters.dropped_frames += 1
                self._log_lost_peer(reason)
                await anyio.sleep(RECONNECT_DELAY_S)

    def _log_lost_peer(self, reason: str) -> None:
        if not self._is_lost:
            self._is_lost = True
            _LOG.info("peer_lost", address=self.address, reason=reason)

    def _log_regained_peer(self) -> None:
        if self._is_lost:
            self._is_lost = False
            _LOG.info("peer_regained", address=self.address)

    async def _async_send_frames(self, frame: bytes) -> None:
        """Connect, then send a first frame and all queued ones until a failure."""
        host, _, port = self.address.rpartition(":")
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, int(port))
        self._log_regained_peer()
        async with stream, anyio.create_task_group() as tg:
            tracker = _AcknowledgementTracker()
            tg.start_soon(self._async_watch_acknowledgements, stream, tracker, tg)
            while True:
                data = add_length_prefix(frame)
                with anyio.fail_after(ACKNOWLEDGE_TIMEOUT_S):
                    await stream.send(data)
                tracker.record_sent_frame()
                self._counters.sent_frames += 1
                self._counters.sent_bytes += len(data)
                frame = await self._queue_output.receive()

    async def _async_watch_acknowledgements(
        self, stream: SocketStream, tracker: "_AcknowledgementTracker", tg: TaskGroup
    ) -> None:
        """Cancel the task group when the peer closes or stops acknowledging."""
        while True:
            with anyio.move_on_after(ACKNOWLEDGE_INTERVAL_S):
                try:
                    await stream.receive(64)
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    break
                tracker.record_acknowledgement()
            if tracker.is_overdue():
                self._counters.silent_connections += 1
                break
        tg.cancel_scope.cancel()


@attrs.define
class _AcknowledgementTracker:
    """Tracks for how long sent frames have been unacknowledged."""

    unacknowledged_since_s: float | None = None

    def record_sent_frame(self) -> None:
        if self.unacknowledged_since_s is None:
            self.unacknowledged_since_s = time.monotonic()

    def record_acknowledgement(self) -> None:
        self.unacknowledged_since_s = None

    def is_overdue(self) -> bool:
        since_s = self.unacknowledged_since_s
        return (
            since_s is not None and time.monotonic() - since_s > ACKNOWLEDGE_TIMEOUT_S
        )


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
        self._task_group: TaskGroup | None = None

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
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with listener, anyio.create_task_group() as tg:
            self._task_group = tg
            await listener.serve(self._async_handle_connection)

    def _get_sender(self, instance: str) -> PeerSender | None:
        """Return the sender of an instance; start one if its address is known."""
        sender = self._senders.get(instance)
        address = self._addresses.get(instance)
        if sender is None and address is not None and self._task_group is not None:
            sender = PeerSender(address, self.counters)
            self._senders[instance] = sender
            self._task_group.start_soon(sender.async_run)
        return sender

    async def _async_handle_connection(self, stream: SocketStream) -> None:
        try:
            async with stream, anyio.create_task_group() as tg:
                conn = _IncomingConnection(stream)
                tg.start_soon(conn.async_send_acknowledgements)
                await self._async_read_frames(conn)
                tg.cancel_scope.cancel()
        except* CONNECTION_ERRORS:
            pass

    async def _async_read_frames(self, conn: "_IncomingConnection") -> None:
        buffered_stream = BufferedByteReceiveStream(conn.stream)
        while True:
            length_prefix = await buffered_stream.receive_exactly(LENGTH_PREFIX_BYTES)
            length = int.from_bytes(length_prefix, "big")
            if length > FRAME_MAX_BYTES:
                self.counters.rejected_frames += 1
                return
            self._accept_frame(await buffered_stream.receive_exactly(length))
            conn.has_unacknowledged_frames = True

    def _accept_frame(self, frame: bytes) -> None:
        """Pass on the message of a frame; an invalid frame is only counted."""
        try:
            envelope = self._codec.decode_frame(frame)
        except PeerDecodeError:
            self.counters.rejected_frames += 1
            return
        self.counters.received_frames += 1
        self._on_envelope(envelope)


@attrs.define
class _IncomingConnection:
    """A connection of a peer; acknowledges received frames at intervals."""

    stream: SocketStream
    has_unacknowledged_frames: bool = False

    async def async_send_acknowledgements(self) -> None:
        while True:
            await anyio.sleep(ACKNOWLEDGE_INTERVAL_S)
            if self.has_unacknowledged_frames:
                self.has_unacknowledged_frames = False
                await self.stream.send(b"\0")
