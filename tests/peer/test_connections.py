"""Guards what peers see on a connection: whole frames, few writes, acknowledgements."""

import anyio
import pytest

from wagtailrill.peer.const import ACKNOWLEDGEMENT
from wagtailrill.peer.frame import FrameCodec, add_length_prefix
from wagtailrill.peer.tcp import PeerTransport

from ..ports import find_free_port
from .test_tcp import async_connect, make_envelope

FRAMES = 5


def run_with_transport(registry, received, scenario):
    """Run a scenario with a serving transport, its port and its codec."""

    async def async_main():
        codec = FrameCodec(registry, (b"secret",))
        transport = PeerTransport(codec, received.append)
        port = find_free_port()
        async with anyio.create_task_group() as tg:
            tg.start_soon(transport.async_serve, "127.0.0.1", port)
            await (await async_connect(port)).aclose()
            with anyio.fail_after(20.0):
                await scenario(transport, port, codec)
            tg.cancel_scope.cancel()

    anyio.run(async_main)


@pytest.mark.parametrize("piece_bytes", [1, 7, 1_000_000])
def test_frames_arrive_whole_however_they_are_split(registry, piece_bytes):
    """Guards against frames lost or merged at the limits of what one read returns."""
    received = []
    envelopes = [make_envelope(n, "x" * (n * 9)) for n in range(1, FRAMES + 1)]

    async def scenario(transport, port, codec):
        data = b"".join(add_length_prefix(codec.encode_frame(e)) for e in envelopes)
        async with await async_connect(port) as stream:
            for start in range(0, len(data), piece_bytes):
                await stream.send(data[start : start + piece_bytes])
                await anyio.sleep(0.0)
            assert await stream.receive(1) == ACKNOWLEDGEMENT

    run_with_transport(registry, received, scenario)
    assert received == envelopes


def test_frames_of_one_turn_leave_in_one_write(registry):
    """Guards against a system call for each message of a step with many messages."""
    received = []

    async def scenario(transport, port, codec):
        transport.set_addresses({"b": f"127.0.0.1:{port}"})
        transport.send(make_envelope(1))
        while not received:
            await anyio.sleep(0.01)
        (sender,) = transport._senders.values()
        writes, write = [], sender._conn.write
        sender._conn.write = lambda data: (writes.append(data), write(data))
        for number in range(FRAMES):
            transport.send(make_envelope(number + 2))
        while len(received) < FRAMES + 1:
            await anyio.sleep(0.01)
        assert len(writes) == 1

    run_with_transport(registry, received, scenario)


@pytest.mark.parametrize("acknowledges", [True, False])
def test_only_a_silent_connection_is_closed(registry, acknowledges):
    """Guards against messages into a dead connection, and against closing a live one.

    The peer here stands for an instance that runs an earlier version.
    """

    async def scenario(transport, port, codec):
        ended = anyio.Event()

        async def async_receive(stream):
            async with stream:
                try:
                    while await stream.receive():
                        if acknowledges:
                            await stream.send(ACKNOWLEDGEMENT)
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    ended.set()

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        peer_port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tg:
            tg.start_soon(listener.serve, async_receive)
            transport.set_addresses({"b": f"127.0.0.1:{peer_port}"})
            transport.send(make_envelope())
            with anyio.move_on_after(2.5 if acknowledges else 20.0):
                await ended.wait()
            assert ended.is_set() is not acknowledges
            assert transport.counters.silent_connections == (not acknowledges)
            tg.cancel_scope.cancel()

    run_with_transport(registry, [], scenario)
