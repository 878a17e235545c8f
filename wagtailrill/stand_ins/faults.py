"""Faults that the store stand-in injects on request."""

import enum
import random
from typing import Any

import attrs
from expression import Error, Ok, Result

from ..core.findings import Finding, Findings
from ..declaration.check import ObjectReader, load_json, truncate_findings

FAULTS_MAX_BYTES = 4096
REFUSED_CLIENTS_MAX = 64


class Outage(enum.StrEnum):
    """What callers see of an outage."""

    NONE = "none"
    SILENT = "silent"  # connections open, no answer comes
    BUSY = "busy"  # status 503
    MANY = "many"  # status 429


@attrs.frozen
class StoreFaults:
    """Faults in force; a lost answer is lost after its effect.

    With `late_s` a call whose answer is lost takes effect so much later. An outage
    holds for the `clients` only, by their addresses, if any are named.
    """

    outage: Outage = Outage.NONE
    clients: tuple[str, ...] = ()
    latency_s: float = 0.0
    lost_answer_probability: float = 0.0
    late_s: float = 0.0


def parse_faults(text: bytes) -> Result[StoreFaults, tuple[Finding, ...]]:
    """Return the faults of a JSON text, or its findings."""
    match load_json(text, FAULTS_MAX_BYTES):
        case Result(tag="ok", ok=value):
            return _faults(value)
        case Result(error=finding):
            return Error((finding,))


def _faults(value: Any) -> Result[StoreFaults, tuple[Finding, ...]]:
    findings = Findings()
    reader = ObjectReader(value, "$", findings)
    faults = StoreFaults(
        outage=reader.read_choice("outage", Outage, Outage.NONE),
        clients=tuple(
            text
            for text, _ in reader.read_strings("clients", REFUSED_CLIENTS_MAX, True)
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


def loses_answer(faults: StoreFaults, rng: random.Random) -> bool:
    """Decide whether the next answer is lost."""
    return rng.random() < faults.lost_answer_probability
