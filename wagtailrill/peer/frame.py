"""Encodes, authenticates and decodes the frames that carry peer messages.

Used by the TCP transport between instances.
"""

import hashlib
import hmac
from pathlib import Path
from typing import Any

import attrs
import capnp

from .const import (
    FRAME_MAX_BYTES,
    LENGTH_PREFIX_BYTES,
    MAC_BYTES,
    OLDEST_PROTOCOL_VERSION,
    PROTOCOL_VERSION,
)
from .errors import PeerDecodeError
from .registry import Envelope, MessageRegistry

_FRAME_SCHEMA: Any = capnp.load(str(Path(__file__).with_name("frame.capnp"))).Frame


@attrs.define
class FrameCodec:
    """Encodes and decodes frames.

    Frames are authenticated with the first secret and accepted with any, so that
    secrets can be rotated while instances with old and new settings run together.
    Without secrets no frame is accepted, and `encode_frame` must not be called.
    """

    registry: MessageRegistry
    secrets: tuple[bytes, ...] = attrs.field(repr=False)

    def encode_frame(self, envelope: Envelope) -> bytes:
        """Return the frame without its length prefix."""
        number, payload = self.registry.encode_message(envelope.message)
        body: bytes = _FRAME_SCHEMA.new_message(
            version=PROTOCOL_VERSION,
            sender=envelope.sender,
            incarnation=envelope.incarnation,
            receiver=envelope.receiver,
            receiverIncarnation=envelope.receiver_incarnation,
            sequence=envelope.sequence,
            number=number,
            payload=payload,
        ).to_bytes_packed()
        return _compute_mac(self.secrets[0], body) + body

    def decode_frame(self, frame: bytes) -> Envelope:
        """Return the envelope; raise `PeerDecodeError` for an invalid frame."""
        if not MAC_BYTES < len(frame) <= FRAME_MAX_BYTES:
            raise PeerDecodeError(f"frame size of {len(frame)} bytes is out of range")
        mac, body = frame[:MAC_BYTES], frame[MAC_BYTES:]
        if not any(
            hmac.compare_digest(mac, _compute_mac(secret, body))
            for secret in self.secrets
        ):
            raise PeerDecodeError("frame is not authentic")
        try:
            fields = _FRAME_SCHEMA.from_bytes_packed(body).to_dict()
        except (capnp.KjException, ValueError) as exc:
            raise PeerDecodeError("malformed frame") from exc
        if fields["version"] < OLDEST_PROTOCOL_VERSION:
            raise PeerDecodeError(f"unsupported protocol version {fields['version']}")
        return Envelope(
            sender=fields["sender"],
            incarnation=fields["incarnation"],
            receiver=fields["receiver"],
            receiver_incarnation=fields["receiverIncarnation"],
            sequence=fields["sequence"],
            message=self.registry.decode_message(fields["number"], fields["payload"]),
        )


def _compute_mac(secret: bytes, body: bytes) -> bytes:
    """Return the message authentication code of a frame's body."""
    return hmac.digest(secret, body, hashlib.sha256)[:MAC_BYTES]


def add_length_prefix(frame: bytes) -> bytes:
    """Return a frame with its length before it, as sent on a stream."""
    return len(frame).to_bytes(LENGTH_PREFIX_BYTES, "big") + frame
