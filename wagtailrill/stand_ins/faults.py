"""Faults that the store stand-in injects, and their decoding from JSON."""

import enum
import random
from typing import Any

import attrs
from expression import Error, Ok, Result

from ..core.findings import Finding, Findings
from ..declaration.check import ObjectReader, load_json, truncate_findings

FAULTS_MAX_BYTES = 4096
OUTAGE_CLIENTS_MAX = 64


class Outage(enum.StrEnum):
    """What the store's clients see of an outage."""

    NONE = "none"
    SILENT = "silent"  # connections are accepted but never answered
    UNAVAILABLE = "busy"  # responds with status 503
    TOO_MANY_REQUESTS = "many"  # responds with status 429


@attrs.frozen
class StoreFaults:
    """Faults in force; written out under these field names.

    A call whose answer is lost still takes effect, `late_s` seconds later. An outage
    affects only the client addresses in `clients`, or all clients if there are none.
    """

    outage: Outage = Outage.NONE
    clients: tuple[str, ...] = ()
    latency_s: float = 0.0
    lost_answer_probability: float = 0.0
    late_s: float = 0.0


def parse_faults(text: bytes) -> Result[StoreFaults, tuple[Finding, ...]]:
    """Return the faults in a JSON document, or what is wrong with it."""
    match load_json(text, FAULTS_MAX_BYTES):
        case Result(tag="ok", ok=value):
            return _read_faults(value)
        case Result(error=finding):
            return Error((finding,))


def _read_faults(value: Any) -> Result[StoreFaults, tuple[Finding, ...]]:
    findings = Findings()
    reader = ObjectReader(value, "$", findings)
    faults = StoreFaults(
        outage=reader.read_choice("outage", Outage, Outage.NONE),
        clients=tuple(
            text for text, _ in reader.read_strings("clients", OUTAGE_CLIENTS_MAX, True)
        ),
        latency_s=reader.read_positive_number("latency_s")
        if reader.has_field("latency_s")
        else 0.0,
        lost_answer_probability=reader.read_fraction("lost_answer_probability", 0.0),
        late_s=reader.read_positive_number("late_s")
        if reader.has_field("late_s")
        else 0.0,
    )
    reader.report_unknown_fields()
    return Error(truncate_findings(findings)) if findings else Ok(faults)


def draw_answer_loss(faults: StoreFaults, rng: random.Random) -> bool:
    """Return whether the next answer is lost, by a draw from `rng`."""
    return rng.random() < faults.lost_answer_probability
