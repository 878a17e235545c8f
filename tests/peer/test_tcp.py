"""Guards the peer transport against malicious input and lost connections."""

import anyio
import pytest
import structlog

from wagtailrill.peer.const import FRAME_MAX_BYTES
from wagtailrill.peer.errors import PeerDecodeError
from wagtailrill.peer.frame import FrameCodec, add_length_prefix
from wagtailrill.peer.registry import Envelope
from wagtailrill.peer.tcp import PeerTransport

from ..ports import find_free_port
from .conftest import Note

# A busy machine starts a listener late: its address is looked up in a thread.
START_MAX_S = 30.0


async def async_connect(port):
    """Connect to a listener as soon as it is up."""
    with anyio.fail_after(START_MAX_S):
        while True:
            try:
                return await anyio.connect_tcp("127.0.0.1", port)
            except OSError:
                await anyio.sleep(0.01)


def make_envelope(sequence=1, text="hello"):
    return Envelope("a", 1, "b", 0, sequence, Note(text, (1, 2)))


def test_frames_are_accepted_during_secret_rotation(registry):
    """Guards against an outage while peer secrets are rotated."""
    old = FrameCodec(registry, (b"old", b"new"))
    new = FrameCodec(registry, (b"new", b"old"))
    assert new.decode_frame(old.encode_frame(make_envelope())) == make_envelope()
    assert old.decode_frame(new.encode_frame(make_envelope())) == make_envelope()


def test_frame_with_an_unknown_secret_is_rejected(registry):
    """Guards against messages from processes that do not have the secret."""
    frame = FrameCodec(registry, (b"other",)).encode_frame(make_envelope())
    with pytest.raises(PeerDecodeError):
        FrameCodec(registry, (b"ours",)).decode_frame(frame)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"GET / HTTP/1.1\r\n\r\n",
        (FRAME_MAX_BYTES + 1).to_bytes(4, "big") + b"x",
        add_length_prefix(b"x" * 100),
        add_length_prefix(b""),
    ],
    ids=["empty", "http", "too long", "not authentic", "empty frame"],
)
def test_hostile_bytes_do_not_stop_the_listener(registry, data):
    """Guards against an invalid frame that terminates the process."""
    received = []

    async def async_main():
        codec = FrameCodec(registry, (b"secret",))
        transport = PeerTransport(codec, received.append)
        async with anyio.create_task_group() as tg:
            port = find_free_port()
            tg.start_soon(transport.async_serve, "127.0.0.1", port)
            async with await async_connect(port) as stream:
                await stream.send(data)
            transport.set_addresses({"b": f"127.0.0.1:{port}"})
            transport.send(make_envelope())
            with anyio.fail_after(5.0):
                while not received:
                    await anyio.sleep(0.01)
            tg.cancel_scope.cancel()

    anyio.run(async_main)
    assert received == [make_envelope()]


def test_messages_arrive_after_the_receiver_restarts(registry):
    """Guards against a sender that stops for good when its connection is lost."""
    received = []

    async def async_serve_once(port, sender, text):
        transport = PeerTransport(FrameCodec(registry, (b"s",)), received.append)
        async with anyio.create_task_group() as tg:
            tg.start_soon(transport.async_serve, "127.0.0.1", port)
            with anyio.fail_after(10.0):
                while not any(e.message.text == text for e in received):
                    sender.send(make_envelope(len(received) + 1, text))
                    await anyio.sleep(0.05)
            tg.cancel_scope.cancel()

    async def async_main():
        port, sender_port = find_free_port(), find_free_port()
        sender = PeerTransport(FrameCodec(registry, (b"s",)), received.append)
        sender.set_addresses({"b": f"127.0.0.1:{port}"})
        async with anyio.create_task_group() as tg:
            tg.start_soon(sender.async_serve, "127.0.0.1", sender_port)
            await (await async_connect(sender_port)).aclose()
            await async_serve_once(port, sender, "first")
            await async_serve_once(port, sender, "second")
            tg.cancel_scope.cancel()

    anyio.run(async_main)
    assert {e.message.text for e in received} == {"first", "second"}


def test_loss_and_return_of_a_peer_are_logged_once_each(registry):
    """Guards against a network partition that does not appear in the logs."""

    async def async_main():
        codec = FrameCodec(registry, (b"secret",))
        received = []
        sender = PeerTransport(codec, lambda e: None)
        receiver = PeerTransport(codec, received.append)
        port, sender_port = find_free_port(), find_free_port()
        sender.set_addresses({"b": f"127.0.0.1:{port}"})
        with structlog.testing.capture_logs() as lines:
            async with anyio.create_task_group() as tg:
                tg.start_soon(sender.async_serve, "127.0.0.1", sender_port)
                await (await async_connect(sender_port)).aclose()
                for number in range(4):
                    sender.send(make_envelope(number))
                    await anyio.sleep(0.15)
                tg.start_soon(receiver.async_serve, "127.0.0.1", port)
                with anyio.fail_after(20.0):
                    while not received:
                        sender.send(make_envelope(9))
                        await anyio.sleep(0.05)
                tg.cancel_scope.cancel()
        return [line["event"] for line in lines]

    assert anyio.run(async_main) == ["peer_lost", "peer_regained"]
