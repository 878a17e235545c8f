"""Control calls to backend servers on the virtual clock: grants, releases, checks."""

import random
from collections.abc import Callable, Mapping

from expression import Error, Ok

from ..core.commands import CallBackend, Command
from ..core.events import BackendReplied
from ..core.request_models import NO_NOTICE, LoadReport, ServerNotice
from ..servers.control import (
    GRANT_TIMEOUT_S,
    CheckReachable,
    CheckSameProcess,
    ControlError,
    ControlErrorKind,
    ControlResult,
    GrantKeys,
    KeysGranted,
    KeysReleased,
    Reachable,
    ReleaseKeys,
)
from .virtual_fleet import VirtualFleet
from .virtual_models import VirtualServer, draw_delay_s

RELEASE_POLL_INTERVAL_S = 0.01
SAME_PROCESS_REPLY_DELAY_S = 0.04


class VirtualControlCalls:
    """Executes control calls at the servers in `by_name` and replies to them.

    `rng` is the generator of the servers, so that a seed determines the whole run.
    """

    def __init__(
        self,
        fleet: VirtualFleet,
        by_name: Mapping[str, VirtualServer],
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._by_name = by_name
        self._rng = rng

    def call_server(self, name: str, command: Command) -> None:
        """Execute a control call of the instance `name`."""
        assert isinstance(command, CallBackend)
        row = self._fleet.nodes[name]
        server = self._by_name.get(command.backend_server)

        def reply(result: ControlResult, delay_s: float) -> None:
            says_leaving = (
                result.is_ok() and server is not None and server.model.leaving
            )
            notice = ServerNotice(is_leaving=True) if says_leaving else NO_NOTICE
            event = BackendReplied(command.call_id, result, notice)
            self._fleet.deliver_to_process(row, event, delay_s)

        if isinstance(command.operation, CheckSameProcess):
            self._fleet.call_later(
                SAME_PROCESS_REPLY_DELAY_S,
                lambda: reply(self._check_same_process(server), 0.0),
            )
            return

        def arrive() -> None:
            not_sent = ControlError(ControlErrorKind.NOT_SENT)
            no_answer = ControlError(ControlErrorKind.NO_ANSWER)
            if server is None or server.down:
                reply(Error(not_sent), draw_delay_s(self._rng))
            elif name in server.cut_instances:
                reply(Error(not_sent), GRANT_TIMEOUT_S)
            elif server.frozen:
                server.held_callbacks.append(
                    lambda: self._execute_call(server, command, lambda *_: None)
                )
                reply(Error(no_answer), GRANT_TIMEOUT_S)
            elif self._rng.random() < server.lost_call_probability:
                self._fleet.call_later(
                    server.late_s,
                    lambda: self._execute_call(
                        server, command, lambda *_: None, server.late_s
                    ),
                )
                reply(Error(no_answer), GRANT_TIMEOUT_S)
            else:
                self._execute_call(server, command, reply)

        self._fleet.call_later(draw_delay_s(self._rng), arrive)

    def _check_same_process(self, server: VirtualServer | None) -> ControlResult:
        """Fail if the server is down or has restarted within the last second."""
        now_s = self._fleet.now_s
        if server is None or server.down or server.model.started_s > now_s - 1.0:
            return Error(ControlError(ControlErrorKind.NO_ANSWER))
        return Ok(Reachable())

    def _execute_call(
        self,
        server: VirtualServer,
        command: CallBackend,
        reply: Callable[[ControlResult, float], None],
        age_s: float = 0.0,
    ) -> None:
        model, now_s = server.model, self._fleet.now_s
        operation = command.operation
        if server.down or model.server_id != command.backend_server:
            return
        if isinstance(operation, CheckReachable):
            reply(Ok(Reachable()), draw_delay_s(self._rng))
        elif isinstance(operation, GrantKeys):
            # A grant's duration counts from the arrival of the call, `age_s` ago.
            granted = model.grant_keys(
                operation.first,
                operation.last,
                operation.fence,
                operation.duration_s - age_s,
                now_s,
            )
            load = LoadReport(
                model.running_by_position.total(), 0, model.cfg.slots, model.slowness
            )
            fenced = ControlError(ControlErrorKind.FENCED)
            result: ControlResult = Ok(KeysGranted(load)) if granted else Error(fenced)
            reply(result, draw_delay_s(self._rng))
        elif isinstance(operation, ReleaseKeys):
            model.release_keys(operation.first, operation.last, operation.fence, now_s)
            self._answer_release(server, operation, reply)

    def _answer_release(
        self,
        server: VirtualServer,
        operation: ReleaseKeys,
        reply: Callable[[ControlResult, float], None],
    ) -> None:
        if server.model.has_requests_on(operation.first, operation.last):
            self._fleet.call_later(
                RELEASE_POLL_INTERVAL_S,
                lambda: self._answer_release(server, operation, reply),
            )
        else:
            reply(
                Ok(KeysReleased(server.model.make_handover_token())),
                draw_delay_s(self._rng),
            )
