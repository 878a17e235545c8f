"""Counters of the transport between instances."""

import attrs


@attrs.define
class PeerCounters:
    """Counters of the transport, for metrics."""

    sent_frames: int = 0
    sent_bytes: int = 0
    received_frames: int = 0
    rejected_frames: int = 0
    dropped_frames: int = 0
    silent_connections: int = 0
