"""Callers on the virtual clock: deliveries, answers and repeats."""

import itertools

import attrs

from ..core.commands import AnswerRequest, Command, RefuseRequest, ReplayAnswer
from ..core.events import RequestArrived
from ..core.headers import IDEMPOTENCY_KEY_HEADER
from ..core.orders import CallerRequest
from ..core.refusals import Ran
from ..organisations.const import TENANT_KEY_HEADER
from .virtual_backends import DELIVERY_HEADER, VirtualBackends
from .virtual_fleet import VirtualFleet


@attrs.define(eq=False)
class Delivery:
    """One delivery of a request through one instance.

    `ran` is None while there is no refusal; `answered_by` is the delivery whose answer
    the caller got.
    """

    name: str
    instance: str
    organisation: str
    idempotency_key: str
    sent_s: float
    ended_s: float | None = None
    code: str = ""
    ran: Ran | None = None
    answered_by: str = ""

    @property
    def answered(self) -> bool:
        """Return whether the caller got an answer that is no refusal."""
        return self.code == "answered"

    @property
    def latency_s(self) -> float:
        """Return the time from sending to the answer, infinite without one."""
        return (self.ended_s or float("inf")) - self.sent_s


class VirtualCallers:
    """Sends requests to instances and records what comes back."""

    def __init__(
        self,
        fleet: VirtualFleet,
        backends: VirtualBackends,
        tenant_keys: dict[str, str],
    ) -> None:
        self.fleet = fleet
        self._backends = backends
        self.deliveries: list[Delivery] = []
        self._tenant_keys = tenant_keys
        self._open: dict[tuple[str, int], Delivery] = {}
        self._numbers = itertools.count(1)
        fleet.on_command(RefuseRequest, self._refused)
        fleet.on_command(AnswerRequest, self._answered)
        fleet.on_command(ReplayAnswer, self._replayed_answer)

    def send(
        self,
        instance: str,
        method: str,
        path: str,
        organisation: str,
        idempotency_key: str = "",
        body: bytes = b"",
    ) -> Delivery:
        """Deliver a request to an instance now."""
        number = next(self._numbers)
        name = f"d{number}"
        headers = [
            (TENANT_KEY_HEADER, self._tenant_keys[organisation].encode()),
            (DELIVERY_HEADER, name.encode()),
        ]
        if idempotency_key:
            headers.append((IDEMPOTENCY_KEY_HEADER, idempotency_key.encode()))
        req = CallerRequest(number, method, path, "", tuple(headers), body)
        delivery = Delivery(
            name, instance, organisation, idempotency_key, self.fleet.now_s
        )
        self.deliveries.append(delivery)
        self._open[(instance, number)] = delivery
        self.fleet.deliver(instance, RequestArrived(req), 0.0)
        return delivery

    def _end(self, instance: str, request_id: int) -> Delivery | None:
        delivery = self._open.pop((instance, request_id), None)
        if delivery is not None:
            delivery.ended_s = self.fleet.now_s
        return delivery

    def _refused(self, instance: str, command: Command) -> None:
        assert isinstance(command, RefuseRequest)
        delivery = self._end(instance, command.request_id)
        if delivery is not None:
            delivery.code = command.refusal.code.value
            delivery.ran = command.refusal.ran

    def _answered(self, instance: str, command: Command) -> None:
        assert isinstance(command, AnswerRequest)
        delivery = self._end(instance, command.request_id)
        if delivery is not None:
            delivery.code = "answered"
            result = self._backends.results[(instance, command.attempt_id)]
            delivery.answered_by = result.body.decode()

    def _replayed_answer(self, instance: str, command: Command) -> None:
        assert isinstance(command, ReplayAnswer)
        delivery = self._end(instance, command.request_id)
        if delivery is not None:
            delivery.code = "answered"
            delivery.answered_by = command.body.decode()
