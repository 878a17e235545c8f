"""Authenticated frames that carry peer messages."""

import hashlib
import hmac
from pathlib import Path
from typing import Any

import attrs
import capnp

from .const import (
    AUTHENTICATOR_BYTES,
    FRAME_LENGTH_BYTES,
    FRAME_MAX_BYTES,
    OLDEST_PROTOCOL_VERSION,
    PROTOCOL_VERSION,
)
from .errors import PeerDecodeError
from .registry import Envelope, MessageRegistry

_SCHEMA: Any = capnp.load(str(Path(__file__).with_name("frame.capnp"))).Frame


@attrs.define
class FrameCodec:
    """Encodes and decodes frames.

    Frames are signed with the first secret and accepted with any, so that secrets
    can be rotated while old and new instances run together. Without a secret nothing
    is accepted and nothing may be encoded.
    """

    registry: MessageRegistry
    secrets: tuple[bytes, ...] = attrs.field(repr=False)

    def encode(self, envelope: Envelope) -> bytes:
        """Return the frame without its length prefix."""
        number, payload = self.registry.encode(envelope.message)
        body: bytes = _SCHEMA.new_message(
            version=PROTOCOL_VERSION,
            sender=envelope.sender,
            incarnation=envelope.incarnation,
            receiver=envelope.receiver,
            receiverIncarnation=envelope.receiver_incarnation,
            sequence=envelope.sequence,
            number=number,
            payload=payload,
        ).to_bytes_packed()
        return _authenticator(self.secrets[0], body) + body

    def decode(self, frame: bytes) -> Envelope:
        """Return the envelope; raise `PeerDecodeError` for a frame to be dropped."""
        if not AUTHENTICATOR_BYTES < len(frame) <= FRAME_MAX_BYTES:
            raise PeerDecodeError(f"frame of {len(frame)} bytes")
        authenticator, body = frame[:AUTHENTICATOR_BYTES], frame[AUTHENTICATOR_BYTES:]
        if not any(
            hmac.compare_digest(authenticator, _authenticator(secret, body))
            for secret in self.secrets
        ):
            raise PeerDecodeError("frame is not authentic")
        try:
            fields = _SCHEMA.from_bytes_packed(body).to_dict()
        except (capnp.KjException, ValueError) as exc:
            raise PeerDecodeError("malformed frame") from exc
        if fields["version"] < OLDEST_PROTOCOL_VERSION:
            raise PeerDecodeError(f"protocol version {fields['version']}")
        return Envelope(
            sender=fields["sender"],
            incarnation=fields["incarnation"],
            receiver=fields["receiver"],
            receiver_incarnation=fields["receiverIncarnation"],
            sequence=fields["sequence"],
            message=self.registry.decode(fields["number"], fields["payload"]),
        )


def _authenticator(secret: bytes, body: bytes) -> bytes:
    return hmac.digest(secret, body, hashlib.sha256)[:AUTHENTICATOR_BYTES]


def with_length(frame: bytes) -> bytes:
    """Return a frame with its length prefix for a stream."""
    return len(frame).to_bytes(FRAME_LENGTH_BYTES, "big") + frame
