"""Errors of the peer protocol."""


class PeerDecodeError(ValueError):
    """A frame or message is malformed, too large or not authentic."""
