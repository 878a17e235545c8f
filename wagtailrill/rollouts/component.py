"""Follows the roll-outs of all services, and decides about those whose duty is held.

The router connects it to the configuration's mirror, placement and the pipeline.
"""

from collections.abc import Callable, Mapping

import attrs

from ..core.context import Context
from ..core.host import ComponentHost
from ..core.log_events import LogName
from ..core.request_models import AttemptResult
from ..declaration.models import Configuration
from ..fleet.duties import Duties
from ..fleet.members import Members
from ..peer.registry import Envelope
from ..placement.canary import CanaryGate
from ..servers.models import ServerRow
from ..servers.table import ServerTable
from ..servers.versions import AnyVersion
from ..store.models import Item
from .const import DECIDER_TICK_S, ROLLOUT_DUTY_WEIGHT, SAMPLES_INTERVAL_S
from .decider import Decider, DeciderParts
from .messages import AttemptSamples, CanaryGrant, CanaryReport
from .models import RolloutDialect, RolloutRecord, RolloutSettings
from .orders import Orders
from .record_writer import RECORD_PREFIX, RecordWriter
from .samples import SampleBuffer
from .versions import VersionTable

DUTY_PREFIX = "rollout/"


@attrs.frozen
class RolloutParts:
    """Dependencies of `Rollouts`.

    `get_operator_items` returns the operator's keys, None before they have been read.
    `find_dispatcher` returns the name of the instance that places a service's requests.
    """

    ctx: Context
    servers: ServerTable
    members: Members
    duties: Duties
    dialect: RolloutDialect
    get_operator_items: Callable[[], Mapping[str, Item] | None]
    find_dispatcher: Callable[[str], str]


@attrs.define(eq=False)
class ServiceRow:
    """State of one service; `decider` is set while this instance has the duty."""

    name: str
    is_keyed: bool
    read_revision: int = 0
    decider: Decider | None = None
    samples: SampleBuffer = attrs.field(factory=SampleBuffer)


class Rollouts:
    """Implements `DutyListener` for the duty of each service's roll-outs.

    Where the bounds of roll-outs are not in force, every version is allowed and no duty
    is taken.
    """

    def __init__(self, parts: RolloutParts, cfg: RolloutSettings) -> None:
        self._parts = parts
        self._ctx = parts.ctx
        self._cfg = cfg
        self._rows: dict[str, ServiceRow] = {}
        self._is_ticking = False
        self._orders = Orders(parts.ctx, parts.dialect)
        self.versions = VersionTable(parts.ctx, parts.servers)
        self._apply_policy()
        parts.members.add_listener(self._read_records)

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of peer messages."""
        host.register_message_handler([CanaryGrant], self._on_grant)
        host.register_message_handler([CanaryReport], self._on_report)
        host.register_message_handler([AttemptSamples], self._on_samples)

    def apply_settings(self, cfg: RolloutSettings) -> None:
        """Replace the settings."""
        if cfg != self._cfg:
            self._cfg = cfg
            self._apply_policy()
            self._register_duties()
            self._parts.servers.apply_versions()

    def configure(self, configuration: Configuration) -> None:
        """Follow the roll-outs of the configured services."""
        for name in configuration.services.keys() - self._rows.keys():
            is_keyed = configuration.services[name].keyed
            self._rows[name] = ServiceRow(name, is_keyed)
        for name in self._rows.keys() - configuration.services.keys():
            self._parts.duties.withdraw(DUTY_PREFIX + name)
            del self._rows[name]
        self._register_duties()
        self._read_records()

    def find_gate(self, service: str) -> CanaryGate | None:
        """Return what bounds the requests at a version under test."""
        return self.versions.get_row(service).gate if self._cfg.enabled else None

    def record_result(
        self, service: str, route: str, server: ServerRow, result: AttemptResult
    ) -> None:
        """Take the result of an attempt, to report it while an order runs."""
        row = self._rows.get(service)
        record = self.versions.get_row(service).record if self._cfg.enabled else None
        if row is not None and record is not None and record.is_running:
            is_target = server.entry.version == record.target
            row.samples.add(route, server.name, is_target, result)

    def describe(self) -> dict[str, dict[str, str | int | list[str]]]:
        """Return what has been decided for each service, for the admin interface."""
        return {
            name: {
                "phase": record.phase.value,
                "target": record.target,
                "allowed": list(record.allowed),
                "serial": record.serial,
            }
            for name in sorted(self._rows)
            if (record := self.versions.get_row(name).record) is not None
        }

    def collect_gauges(self) -> dict[str, float]:
        """Return the gauges of roll-outs: running ones and the exposure here."""
        if not self._cfg.enabled:
            return {}
        rows = [self.versions.get_row(name) for name in self._rows]
        running = [r for r in rows if r.record is not None and r.record.is_running]
        return {
            "rollouts_running": float(len(running)),
            "rollout_requests_exposed": float(sum(r.gate.exposed for r in running)),
        }

    # Duty

    def on_duty_taken(
        self, duty: str, fence: int, predecessor_may_act_s: float
    ) -> None:
        """Start to decide: the condition of each write bars a predecessor's decisions.

        What a predecessor still grants is within the share of what it has counted.
        """
        row = self._rows.get(duty.removeprefix(DUTY_PREFIX))
        if row is not None:
            row.decider = self._make_decider(row)

    def on_predecessor_stopped(self, duty: str) -> None:
        """Do nothing: the predecessor is not waited for."""

    def on_predecessor_found(self, duty: str, predecessor_may_act_s: float) -> None:
        """Do nothing: the predecessor is not waited for."""

    def on_duty_lost(self, duty: str) -> None:
        """Stop deciding."""
        row = self._rows.get(duty.removeprefix(DUTY_PREFIX))
        if row is not None:
            row.decider = None

    def _make_decider(self, row: ServiceRow) -> Decider:
        parts, service = self._parts, row.name
        return Decider(
            DeciderParts(
                parts.ctx,
                parts.servers,
                self.versions,
                RecordWriter(parts.ctx, parts.members, parts.dialect, service),
                service,
                row.is_keyed,
                lambda: self._cfg,
                lambda: self._orders.get_view(service),
                lambda: parts.find_dispatcher(service),
            )
        )

    def _register_duties(self) -> None:
        duties = self._parts.duties
        for name in self._rows:
            if self._cfg.enabled:
                duties.register(
                    DUTY_PREFIX + name, self, ROLLOUT_DUTY_WEIGHT, is_exclusive=False
                )
            else:
                duties.withdraw(DUTY_PREFIX + name)

    def _apply_policy(self) -> None:
        if self._cfg.enabled and not self._is_ticking:
            self._is_ticking = True
            self._ctx.timers.call_every(DECIDER_TICK_S, self._tick)
            self._ctx.timers.call_every(SAMPLES_INTERVAL_S, self._report_samples)
        policy = self.versions if self._cfg.enabled else AnyVersion()
        self._parts.servers.versions = policy

    # Following orders and records

    def _tick(self) -> None:
        if not self._cfg.enabled:
            return
        items = self._parts.get_operator_items()
        for row in self._rows.values():
            if items is not None:
                self._orders.update(row.name, items)
            if row.decider is not None and self._parts.duties.holds(
                DUTY_PREFIX + row.name
            ):
                row.decider.tick()
            self._report_exposure(row)

    def _read_records(self) -> None:
        members = self._parts.members
        for row in self._rows.values():
            item = members.get_item(RECORD_PREFIX + row.name)
            if item is None or item.revision == row.read_revision:
                continue
            row.read_revision = item.revision
            parsed = RolloutRecord.from_bytes(item.value)
            if parsed.is_ok():
                self.versions.take_record(row.name, parsed.ok, is_stored=True)
            else:
                self._ctx.log(
                    LogName.ROLLOUT_INVALID,
                    service=row.name,
                    revision=item.revision,
                    reason=parsed.error,
                )
        if members.mirror.is_complete:
            self.versions.note_absence_known()

    # Messages

    def _report_exposure(self, row: ServiceRow) -> None:
        record = self.versions.get_row(row.name).record
        own_name = self._ctx.identity.instance
        if (
            record is not None
            and record.is_running
            and self._parts.find_dispatcher(row.name) == own_name
        ):
            gate = self.versions.get_row(row.name).gate
            self._send_to_decider(row.name, gate.build_report(row.name))

    def _report_samples(self) -> None:
        for row in self._rows.values():
            samples = row.samples.take()
            record = self.versions.get_row(row.name).record
            if samples and record is not None:
                message = AttemptSamples(row.name, record.order_revision, samples)
                self._send_to_decider(row.name, message)

    def _send_to_decider(
        self, service: str, message: CanaryReport | AttemptSamples
    ) -> None:
        holder = self._parts.duties.get_holder(DUTY_PREFIX + service)
        if holder is not None and holder.instance:
            self._ctx.send(holder.instance, message, holder.incarnation)

    def _on_grant(self, envelope: Envelope) -> None:
        grant: CanaryGrant = envelope.message
        holder = self._parts.duties.get_holder(DUTY_PREFIX + grant.service)
        if holder is None or holder.instance != envelope.sender:
            return
        if grant.service not in self._rows:
            return
        parsed = RolloutRecord.from_bytes(grant.record)
        if parsed.is_ok():
            self.versions.take_record(grant.service, parsed.ok)
        self.versions.get_row(grant.service).gate.apply_grant(grant)

    def _on_report(self, envelope: Envelope) -> None:
        report: CanaryReport = envelope.message
        decider = self._find_decider(report.service)
        if decider is not None:
            process = (envelope.sender, envelope.incarnation)
            decider.record_report(process, report)

    def _on_samples(self, envelope: Envelope) -> None:
        message: AttemptSamples = envelope.message
        decider = self._find_decider(message.service)
        if decider is not None:
            decider.record_samples(message)

    def _find_decider(self, service: str) -> Decider | None:
        row = self._rows.get(service)
        is_held = self._parts.duties.holds(DUTY_PREFIX + service)
        return row.decider if row is not None and is_held else None
