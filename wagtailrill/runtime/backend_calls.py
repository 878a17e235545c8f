"""Control calls to backend servers: grants and releases of keys, and checks."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
from expression import Error, Ok

from ..core.commands import CallBackend, LogEvent
from ..core.events import BackendReplied
from ..core.log_events import LogName
from ..core.request_models import AttemptOutcome, AttemptResult, BackendRequest
from ..gateway.dialects import ControlDialect, ControlRequest
from ..observability.metrics import Metrics
from ..servers.control import (
    CheckReachable,
    CheckSameProcess,
    ControlError,
    ControlErrorKind,
    ControlResult,
    GrantKeys,
    Reachable,
    ReleaseKeys,
)
from .backend_pools import BackendPools

# When a server process crashes, all of its connections are reported as closed within
# this time after the first one.
SAME_PROCESS_CHECK_DELAY_S = 0.04
CONTROL_HEADERS = ((b"content-type", b"application/json"),)


@attrs.frozen
class BackendCallParts:
    """Dependencies of `BackendCalls`.

    `start_task` runs a coroutine to its end; `report_reply` takes the result of a call.
    """

    pools: BackendPools
    control_dialect: ControlDialect
    metrics: Metrics
    write_log: Callable[[LogEvent], None]
    start_task: Callable[[Coroutine[Any, Any, None]], object]
    report_reply: Callable[[BackendReplied], object]


class BackendCalls:
    """Makes the control calls that the router commands and reports their results."""

    def __init__(self, parts: BackendCallParts) -> None:
        self._parts = parts
        self._loop = asyncio.get_running_loop()

    def call_backend(self, command: CallBackend) -> None:
        """Start a call; its result is reported later."""
        operation = command.operation
        if isinstance(operation, CheckReachable):
            self._parts.start_task(self._async_check_reachable(command))
        elif isinstance(operation, CheckSameProcess):
            self._check_same_process(command)
        else:
            self._send_call(command, operation)

    async def _async_check_reachable(self, command: CallBackend) -> None:
        pool = self._parts.pools.get_or_create(command.backend_server)
        result: ControlResult = Error(ControlError(ControlErrorKind.NOT_SENT))
        if pool is not None and await pool.async_check_reachable():
            result = Ok(Reachable())
        self._parts.report_reply(BackendReplied(command.call_id, result))

    def _check_same_process(self, command: CallBackend) -> None:
        opened_before_s = self._loop.time()

        def report_same_process() -> None:
            pool = self._parts.pools.find(command.backend_server)
            result: ControlResult = Error(ControlError(ControlErrorKind.NO_ANSWER))
            if pool is not None and pool.has_connection_opened_before(opened_before_s):
                result = Ok(Reachable())
            self._parts.report_reply(BackendReplied(command.call_id, result))

        self._loop.call_later(SAME_PROCESS_CHECK_DELAY_S, report_same_process)

    def _send_call(
        self, command: CallBackend, operation: GrantKeys | ReleaseKeys
    ) -> None:
        call = self._parts.control_dialect.encode_operation(operation)
        backend_request = _build_request(command, call)
        attempt_id = backend_request.attempt_id
        pool = self._parts.pools.get_or_create(command.backend_server)

        def report_result(result: AttemptResult) -> None:
            timeout_handle.cancel()
            self._report_result(command, operation, result)

        if pool is None:
            timeout_handle = self._loop.call_soon(
                lambda: report_result(
                    AttemptResult(attempt_id, AttemptOutcome.CONNECT_FAILED, 0.0)
                )
            )
            return
        timeout_handle = self._loop.call_later(
            call.timeout_s, pool.cancel_attempt, attempt_id
        )
        pool.send_request(backend_request, report_result)

    def _report_result(
        self,
        command: CallBackend,
        operation: GrantKeys | ReleaseKeys,
        result: AttemptResult,
    ) -> None:
        self._log_discarded_responses(command.backend_server, result)
        control_result = self._parts.control_dialect.decode_result(operation, result)
        self._parts.metrics.record_control_call(
            type(operation).__name__,
            "ok" if control_result.is_ok() else control_result.error.kind.value,
        )
        self._parts.report_reply(
            BackendReplied(command.call_id, control_result, result.notice)
        )

    def _log_discarded_responses(
        self, backend_server: str, result: AttemptResult
    ) -> None:
        """Log responses that came in place of the answer to a control call."""
        if result.discarded is None:
            return
        fields: dict[str, str | float] = {
            "backend_server": backend_server,
            "outcome": result.outcome.value,
            "count": result.discarded.count,
            **result.discarded.first.build_log_fields(),
        }
        self._parts.write_log(
            LogEvent(LogName.BACKEND_RESPONSE_DISCARDED, tuple(fields.items()))
        )


def _build_request(command: CallBackend, call: ControlRequest) -> BackendRequest:
    return BackendRequest(
        # Negative, as identifiers of attempts at callers' requests are positive.
        attempt_id=-command.call_id,
        request_id=0,
        backend_server=command.backend_server,
        method="POST",
        target=call.target,
        headers=CONTROL_HEADERS,
        body=call.body,
        expires_unix_s=0.0,
        timeout_s=call.timeout_s,
        needs_certain_answer=call.needs_certain_answer,
        is_control_call=True,
    )
