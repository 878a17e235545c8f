"""Decides about the roll-outs of one service while this instance has the duty."""

import math
from collections.abc import Callable

import attrs
import xxhash

from ..core.context import Context
from ..core.log_events import LogName
from ..servers.models import ServerRow
from ..servers.table import ServerTable
from .const import (
    ANSWERS_MIN,
    CANARY_OWNERS_MIN,
    CANARY_SERVERS_MIN,
    COMPLETE_BY_RATIO,
    DECIDE_BY_RATIO,
    FEW_ANSWERS_MIN,
    GRANT_AHEAD_MIN,
    GRANT_AHEAD_S,
    GRANT_VALID_S,
    PACE_MIN,
    PROMOTE_FROM_RATIO,
    PROMOTION_MIN_S,
    PROMOTION_RATIO,
    SERVERS_CHANGE_INTERVAL_S,
    SERVERS_GROWTH_RATIO,
    SERVERS_RATIO_MAX,
    SPARE_RATIO,
    USE_ALLOWED_IN_S,
    USED_MAX_RATIO,
    USED_MIN_RATIO,
    WARM_SLOTS_RATIO,
)
from .exposure import ExposureLedger, Process
from .judge import (
    FINAL_LOG_EVIDENCE,
    PENDING_LOG_EVIDENCE,
    REJECT_LOG_EVIDENCE,
    VersionJudge,
)
from .messages import AttemptSamples, CanaryGrant, CanaryReport
from .models import Phase, RolloutOrder, RolloutRecord, RolloutSettings
from .plan import ExposurePlan
from .record_writer import RecordWriter
from .versions import VersionRow, VersionTable


@attrs.frozen
class OrderView:
    """The operator's order as this process sees it, None without one.

    `seen_s` is when it was first seen. A process that started later than the order does
    not know how old it is: `was_there_before` is set then.
    """

    order: RolloutOrder | None = None
    seen_s: float = 0.0
    was_there_before: bool = False


@attrs.frozen
class DeciderParts:
    """Dependencies of a decider; `get_order` returns None until the keys are read."""

    ctx: Context
    servers: ServerTable
    versions: VersionTable
    writer: RecordWriter
    service: str
    is_keyed: bool
    get_settings: Callable[[], RolloutSettings]
    get_order: Callable[[], OrderView | None]
    find_dispatcher: Callable[[], str]


@attrs.define(eq=False)
class Evaluation:
    """What this decider knows about one order; it starts anew with each decider.

    With `grants_slack` no other decider has granted any exposure for the order.
    """

    plan: ExposurePlan
    grants_slack: bool
    began_s: float
    judge: VersionJudge = attrs.field(factory=VersionJudge)
    ledger: ExposureLedger = attrs.field(factory=ExposureLedger)
    dispatcher: Process | None = None
    promoted_s: float | None = None
    servers_ratio: float = 1.0
    servers_changed_s: float = 0.0


class Decider:
    """Moves a service's order through its phases.

    Roll-backs act at once and are written as soon as possible. Any other decision acts
    once it is in the store.
    """

    def __init__(self, parts: DeciderParts) -> None:
        self._parts = parts
        self._ctx = parts.ctx
        self._evaluation: Evaluation | None = None
        self._evaluated_revision = 0
        self._begun_revision = 0
        self._ended_s = float("-inf")

    def tick(self) -> None:
        """Decide by what is known now."""
        row = self._row
        view = self._parts.get_order()
        if view is None:
            return
        if row.record is None:
            self._record_first_versions(row)
            return
        if self._parts.writer.stored_serial < row.record.serial:
            self._write(row.record)
        if view.order is None:
            if row.record.is_running:
                self._roll_back(row.record, "withdrawn")
        elif not row.record.is_about(view.order):
            self._begin(view.order, row.record)
        elif row.record.is_running:
            self._follow(row.record, view)
        if row.record.is_running or self._ctx.now_s - self._ended_s < GRANT_VALID_S:
            self._send_grant(row.record)

    def record_report(self, process: Process, report: CanaryReport) -> None:
        """Take the counts of a dispatcher process."""
        evaluation = self._get_evaluation(report.order_revision)
        if evaluation is not None:
            evaluation.ledger.record_report(process, report)
            if process[0] == self._parts.find_dispatcher():
                evaluation.dispatcher = process

    def record_samples(self, samples: AttemptSamples) -> None:
        """Take the results of attempts."""
        evaluation = self._get_evaluation(samples.order_revision)
        if evaluation is not None:
            evaluation.judge.record_samples(samples.samples, self._ctx.now_s)

    @property
    def _row(self) -> VersionRow:
        return self._parts.versions.get_row(self._parts.service)

    def _get_evaluation(self, order_revision: int) -> Evaluation | None:
        record = self._row.record
        if record is None or not record.is_running:
            return None
        if record.order_revision != order_revision:
            return None
        if self._evaluated_revision != order_revision or self._evaluation is None:
            self._evaluated_revision = order_revision
            plan = ExposurePlan(self._parts.get_settings())
            is_own = self._begun_revision == order_revision
            self._evaluation = Evaluation(
                plan, is_own, self._ctx.now_s, servers_changed_s=self._ctx.now_s
            )
        return self._evaluation

    # Phases

    def _record_first_versions(self, row: VersionRow) -> None:
        if row.settled:
            allowed = tuple(sorted(row.settled))
            self._write(RolloutRecord(1, Phase.SETTLED, allowed))

    def _begin(self, order: RolloutOrder, former: RolloutRecord) -> None:
        phase = Phase.CANARY
        if order.target in former.allowed:
            only = former.allowed == (order.target,)
            phase = Phase.COMPLETE if only else Phase.PROMOTING
        record = RolloutRecord(
            former.serial + 1,
            phase,
            former.allowed,
            order.target,
            order.revision,
            order.digest,
            self._ctx.wall_s,
        )

        def on_written(written: RolloutRecord) -> None:
            self._begun_revision = order.revision
            self._take_written(written)

        self._parts.writer.write(record, on_written)

    def _follow(self, record: RolloutRecord, view: OrderView) -> None:
        evaluation = self._get_evaluation(record.order_revision)
        assert evaluation is not None
        assert view.order is not None
        duration_s = max(view.order.duration_s, 1e-3)
        ratio = self._compute_elapsed_s(record, view) / duration_s
        finding = evaluation.judge.find_strongest()
        if finding.log_evidence >= REJECT_LOG_EVIDENCE:
            self._roll_back(record, f"{finding.signal} on {finding.route}")
        elif record.phase is Phase.CANARY:
            self._follow_canary(record, evaluation, ratio)
        else:
            self._follow_promotion(record, evaluation, ratio, duration_s)

    def _follow_canary(
        self, record: RolloutRecord, evaluation: Evaluation, ratio: float
    ) -> None:
        finding = evaluation.judge.find_strongest()
        is_pending = finding.log_evidence >= PENDING_LOG_EVIDENCE
        if evaluation.plan.advance(ratio):
            self._log_step(record, evaluation, finding.log_evidence)
        if ratio < PROMOTE_FROM_RATIO or (is_pending and ratio < DECIDE_BY_RATIO):
            return
        is_last = ratio >= DECIDE_BY_RATIO
        answers_min = FEW_ANSWERS_MIN if is_last else ANSWERS_MIN
        if finding.log_evidence >= FINAL_LOG_EVIDENCE:
            self._roll_back(record, f"{finding.signal} on {finding.route}")
        elif evaluation.judge.answers >= answers_min and (
            is_last or self._is_warm(record)
        ):
            self._change_phase(record, Phase.PROMOTING)
        elif is_last:
            self._roll_back(record, "too few answers")

    def _follow_promotion(
        self,
        record: RolloutRecord,
        evaluation: Evaluation,
        ratio: float,
        duration_s: float,
    ) -> None:
        now_s = self._ctx.now_s
        if evaluation.promoted_s is None:
            evaluation.promoted_s = now_s
        if not self._list_open_rows({record.target}):
            self._roll_back(record, "no servers")
            return
        lasts_s = max(PROMOTION_MIN_S, PROMOTION_RATIO * duration_s)
        if now_s - evaluation.promoted_s < lasts_s:
            return
        finding = evaluation.judge.find_strongest()
        if finding.log_evidence >= FINAL_LOG_EVIDENCE:
            self._roll_back(record, f"{finding.signal} on {finding.route}")
        elif finding.log_evidence < PENDING_LOG_EVIDENCE or ratio >= COMPLETE_BY_RATIO:
            completed = attrs.evolve(record, allowed=(record.target,))
            self._change_phase(completed, Phase.COMPLETE)

    def _change_phase(self, record: RolloutRecord, phase: Phase) -> None:
        self._write(attrs.evolve(record, serial=record.serial + 1, phase=phase))

    def _roll_back(self, record: RolloutRecord, reason: str) -> None:
        evaluation = self._evaluation
        self._ctx.log(
            LogName.ROLLOUT_ROLLED_BACK,
            service=self._parts.service,
            target=record.target,
            reason=reason,
            answers=evaluation.judge.answers if evaluation is not None else 0,
            exposed=evaluation.ledger.exposed if evaluation is not None else 0,
        )
        ended = attrs.evolve(record, serial=record.serial + 1, phase=Phase.ROLLED_BACK)
        self._parts.versions.take_record(self._parts.service, ended)
        self._ended_s = self._ctx.now_s
        self._send_grant(ended)
        self._write(ended)

    def _write(self, record: RolloutRecord) -> None:
        self._parts.writer.write(record, self._take_written)

    def _take_written(self, record: RolloutRecord) -> None:
        versions = self._parts.versions
        versions.take_record(self._parts.service, record, is_stored=True)

    def _compute_elapsed_s(self, record: RolloutRecord, view: OrderView) -> float:
        if not view.was_there_before:
            return self._ctx.now_s - view.seen_s
        # The wall clock may have jumped; it counts only if nothing better is known.
        since_seen_s = self._ctx.now_s - view.seen_s
        return max(since_seen_s, self._ctx.wall_s - record.started_unix_s)

    def _log_step(
        self, record: RolloutRecord, evaluation: Evaluation, log_evidence: float
    ) -> None:
        self._ctx.log(
            LogName.ROLLOUT_STEP,
            service=self._parts.service,
            target=record.target,
            step=evaluation.plan.index,
            requests=evaluation.ledger.total,
            exposed=evaluation.ledger.exposed,
            answers=evaluation.judge.answers,
            log_evidence=round(log_evidence, 2),
        )

    # Servers and exposure

    def _list_open_rows(self, versions: set[str]) -> list[ServerRow]:
        servers = self._parts.servers
        return [
            row
            for row in servers.rows_by_service.get(self._parts.service, ())
            if row.entry.version in versions and servers.is_open(row)
        ]

    def _is_warm(self, record: RolloutRecord) -> bool:
        """Return whether the target's servers can take over the load."""
        servers = self._parts.servers

        def sum_warm_slots(versions: set[str]) -> int:
            rows = self._list_open_rows(versions)
            return sum(row.entry.slots for row in rows if not servers.is_cold(row))

        new_slots = sum_warm_slots({record.target})
        old_slots = sum_warm_slots(set(record.allowed))
        return new_slots >= WARM_SLOTS_RATIO * old_slots

    def _choose_canary_servers(
        self, record: RolloutRecord, evaluation: Evaluation
    ) -> tuple[str, ...]:
        """Return as many servers as the share of the requests needs.

        The others stay idle, so that those in use are seen under load. In a keyed
        service each one adds the share of its keys, so there are fewer at first.
        """
        old_count = len(self._list_open_rows(set(record.allowed)))
        share = evaluation.plan.step.share_ratio
        share *= self._parts.get_settings().expose_share
        count = max(CANARY_SERVERS_MIN, math.ceil(SPARE_RATIO * share * old_count))
        if self._parts.is_keyed:
            self._adjust_servers(evaluation)
            count = max(CANARY_OWNERS_MIN, math.ceil(share * old_count))
            count = math.ceil(count * evaluation.servers_ratio)
        names = [row.name for row in self._list_open_rows({record.target})]
        names.sort(key=lambda name: xxhash.xxh3_64_intdigest(name.encode()))
        return tuple(names[:count])

    def _adjust_servers(self, evaluation: Evaluation) -> None:
        """Use more servers if too few requests go to them, fewer if too many do."""
        ledger, plan = evaluation.ledger, evaluation.plan
        allowed = plan.compute_allowed(ledger.total, evaluation.grants_slack)
        now_s = self._ctx.now_s
        if now_s - evaluation.servers_changed_s < SERVERS_CHANGE_INTERVAL_S:
            return
        evaluation.servers_changed_s = now_s
        ratio = evaluation.servers_ratio
        if ledger.exposed < USED_MIN_RATIO * allowed:
            ratio *= SERVERS_GROWTH_RATIO
        elif ledger.exposed > USED_MAX_RATIO * allowed:
            ratio = max(1.0, ratio / SERVERS_GROWTH_RATIO)
        evaluation.servers_ratio = min(ratio, SERVERS_RATIO_MAX)

    def _send_grant(self, record: RolloutRecord) -> None:
        dispatcher = self._parts.find_dispatcher()
        if not dispatcher:
            return
        granted, pace, incarnation = 0, 0.0, 0
        servers: tuple[str, ...] = ()
        evaluation = self._get_evaluation(record.order_revision)
        if record.phase is Phase.CANARY and evaluation is not None:
            servers = self._choose_canary_servers(record, evaluation)
            pace = self._compute_pace(evaluation)
            granted = self._compute_grant(evaluation, pace)
            process = evaluation.dispatcher
            incarnation = process[1] if granted and process is not None else 0
        grant = CanaryGrant(
            self._parts.service,
            record.order_revision,
            granted,
            pace,
            servers,
            record.to_bytes(),
        )
        self._ctx.send(dispatcher, grant, incarnation)

    def _compute_pace(self, evaluation: Evaluation) -> float:
        """Return the share of the requests with which what is allowed is soon used.

        A burst would fill the fast servers and spill over to slow ones, as the requests
        of the old version do not.
        """
        ledger, plan = evaluation.ledger, evaluation.plan
        allowed = plan.compute_allowed(ledger.total, evaluation.grants_slack)
        lasted_s = max(self._ctx.now_s - evaluation.began_s, USE_ALLOWED_IN_S)
        expected = ledger.total / lasted_s * USE_ALLOWED_IN_S
        pace = (allowed - ledger.exposed) / max(expected, 1.0)
        return min(max(pace, PACE_MIN), plan.step.pace)

    def _compute_grant(self, evaluation: Evaluation, pace: float) -> int:
        process = evaluation.dispatcher
        if process is None or process[0] != self._parts.find_dispatcher():
            return 0
        ledger, plan = evaluation.ledger, evaluation.plan
        allowed = plan.compute_allowed(ledger.total, evaluation.grants_slack)
        lasted_s = max(self._ctx.now_s - evaluation.began_s, GRANT_AHEAD_S)
        paced_per_s = pace * ledger.total / lasted_s
        ahead = max(GRANT_AHEAD_MIN, math.ceil(paced_per_s * GRANT_AHEAD_S))
        return ledger.grant(process, allowed, ahead)
