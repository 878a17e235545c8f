"""Transport of peer messages over TCP."""

import time
from collections.abc import Callable

import anyio
import attrs
import structlog
from anyio.abc import SocketStream, TaskGroup
from anyio.streams.buffered import BufferedByteReceiveStream

from .const import FRAME_LENGTH_BYTES, FRAME_MAX_BYTES
from .errors import PeerDecodeError
from .frame import FrameCodec, with_length
from .registry import Envelope

SEND_QUEUE_LENGTH = 1024
CONNECT_TIMEOUT_S = 0.5
ACKNOWLEDGE_INTERVAL_S = 0.3
# A connection whose frames stay unacknowledged this long is taken for silent.
SILENT_TIMEOUT_S = 1.0
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
    """Counts of the transport, for metrics."""

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
        self._lost = False
        self._send, self._receive = anyio.create_memory_object_stream[bytes](
            SEND_QUEUE_LENGTH
        )
        self._scope = anyio.CancelScope()

    def offer(self, frame: bytes) -> None:
        """Queue a frame; a full queue drops it."""
        try:
            self._send.send_nowait(frame)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            self._counters.dropped_frames += 1

    def close(self) -> None:
        """Stop sending."""
        self._scope.cancel()

    async def async_run(self) -> None:
        """Keep a connection open and write queued frames to it."""
        with self._scope:
            while True:
                frame = await self._receive.receive()
                reason = "silent_or_closed"
                try:
                    await self._async_serve_connection(frame)
                except* CONNECTION_ERRORS as group:
                    reason = ", ".join(type(exc).__name__ for exc in group.exceptions)
                self._counters.dropped_frames += 1
                self._note_lost(reason)
                await anyio.sleep(RECONNECT_DELAY_S)

    def _note_lost(self, reason: str) -> None:
        if not self._lost:
            self._lost = True
            _LOG.info("peer_lost", address=self.address, reason=reason)

    def _note_connected(self) -> None:
        if self._lost:
            self._lost = False
            _LOG.info("peer_regained", address=self.address)

    async def _async_serve_connection(self, frame: bytes) -> None:
        host, _, port = self.address.rpartition(":")
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, int(port))
        self._note_connected()
        async with stream, anyio.create_task_group() as tg:
            progress = _Progress()
            tg.start_soon(self._async_watch, stream, progress, tg)
            while True:
                data = with_length(frame)
                with anyio.fail_after(SILENT_TIMEOUT_S):
                    await stream.send(data)
                progress.sent()
                self._counters.sent_frames += 1
                self._counters.sent_bytes += len(data)
                frame = await self._receive.receive()

    async def _async_watch(
        self, stream: SocketStream, progress: "_Progress", tg: TaskGroup
    ) -> None:
        while True:
            with anyio.move_on_after(ACKNOWLEDGE_INTERVAL_S):
                try:
                    await stream.receive(64)
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    break
                progress.acknowledged()
            if progress.silent():
                self._counters.silent_connections += 1
                break
        tg.cancel_scope.cancel()


@attrs.define
class _Progress:
    """Tells whether sent frames stay unacknowledged."""

    waiting_since_s: float | None = None

    def sent(self) -> None:
        if self.waiting_since_s is None:
            self.waiting_since_s = time.monotonic()

    def acknowledged(self) -> None:
        self.waiting_since_s = None

    def silent(self) -> bool:
        since_s = self.waiting_since_s
        return since_s is not None and time.monotonic() - since_s > SILENT_TIMEOUT_S


class PeerTransport:
    """Listens for peers and keeps a sender for each of them."""

    def __init__(
        self, codec: FrameCodec, receive: Callable[[Envelope], object]
    ) -> None:
        self.counters = PeerCounters()
        self._codec = codec
        self._receive = receive
        self._senders: dict[str, PeerSender] = {}
        self._addresses: dict[str, str] = {}
        self._tasks: TaskGroup | None = None

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Set the peer address of each instance."""
        for instance, address in addresses.items():
            sender = self._senders.get(instance)
            if sender is not None and sender.address != address:
                sender.close()
                del self._senders[instance]
        self._addresses.update(addresses)

    def send(self, envelope: Envelope) -> None:
        """Queue a message, or drop it when the instance's address is unknown."""
        sender = self._sender(envelope.receiver)
        if sender is None or not self._codec.secrets:
            self.counters.dropped_frames += 1
            return
        sender.offer(self._codec.encode(envelope))

    async def async_serve(self, host: str, port: int) -> None:
        """Accept connections and hand on their messages until cancelled."""
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with listener, anyio.create_task_group() as tg:
            self._tasks = tg
            await listener.serve(self._async_handle)

    def _sender(self, instance: str) -> PeerSender | None:
        sender = self._senders.get(instance)
        address = self._addresses.get(instance)
        if sender is None and address is not None and self._tasks is not None:
            sender = PeerSender(address, self.counters)
            self._senders[instance] = sender
            self._tasks.start_soon(sender.async_run)
        return sender

    async def _async_handle(self, stream: SocketStream) -> None:
        try:
            async with stream, anyio.create_task_group() as tg:
                link = _IncomingLink(stream)
                tg.start_soon(link.async_acknowledge)
                await self._async_read_frames(link)
                tg.cancel_scope.cancel()
        except* CONNECTION_ERRORS:
            pass

    async def _async_read_frames(self, link: "_IncomingLink") -> None:
        buffered = BufferedByteReceiveStream(link.stream)
        while True:
            header = await buffered.receive_exactly(FRAME_LENGTH_BYTES)
            length = int.from_bytes(header, "big")
            if length > FRAME_MAX_BYTES:
                self.counters.rejected_frames += 1
                return
            self._accept(await buffered.receive_exactly(length))
            link.unacknowledged = True

    def _accept(self, frame: bytes) -> None:
        try:
            envelope = self._codec.decode(frame)
        except PeerDecodeError:
            self.counters.rejected_frames += 1
            return
        self.counters.received_frames += 1
        self._receive(envelope)


@attrs.define
class _IncomingLink:
    """Acknowledges received frames at intervals."""

    stream: SocketStream
    unacknowledged: bool = False

    async def async_acknowledge(self) -> None:
        while True:
            await anyio.sleep(ACKNOWLEDGE_INTERVAL_S)
            if self.unacknowledged:
                self.unacknowledged = False
                await self.stream.send(b"\0")
