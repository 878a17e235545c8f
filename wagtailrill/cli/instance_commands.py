"""Commands that call the admin interface of instances."""

import json
from typing import Any
from urllib.parse import urlencode

import anyio
import attrs
import httpcore
from expression import Error, Ok, Result

from .const import ADMIN_RESPONSE_MAX_BYTES, CALL_TIMEOUT_S, ExitCode
from .models import (
    CommandResult,
    DrainResponse,
    InstanceStatus,
    KeyExplanation,
    parse_model,
)
from .versions import convert_revision


@attrs.frozen
class AdminResponse:
    """JSON response of the admin interface."""

    status: int
    data: Any

    def describe_error(self) -> str:
        """Return the error message of the instance, or its HTTP status."""
        text = self.data.get("error") if isinstance(self.data, dict) else None
        return text if isinstance(text, str) else f"status {self.status}"


async def async_call_admin(
    address: str, method: str, path: str
) -> Result[AdminResponse, str]:
    """Call an instance's admin interface; return its response or an error message."""
    try:
        with anyio.fail_after(CALL_TIMEOUT_S):
            return Ok(await _async_fetch_response(address, method, path))
    except TimeoutError:
        return Error(f"no answer within {CALL_TIMEOUT_S} s")
    except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as exc:
        return Error(str(exc) or type(exc).__name__)
    except (ValueError, RecursionError):
        return Error("the answer is not JSON")


async def _async_fetch_response(address: str, method: str, path: str) -> AdminResponse:
    async with httpcore.AsyncConnectionPool() as pool:
        async with pool.stream(method, f"http://{address}{path}") as response:
            content = b""
            async for chunk in response.aiter_stream():
                content += chunk
                if len(content) > ADMIN_RESPONSE_MAX_BYTES:
                    raise ValueError("the answer is too large")
        return AdminResponse(response.status, json.loads(content))


async def async_show_status(addresses: dict[str, str]) -> CommandResult:
    """Show the state of all instances, given their admin addresses by name."""
    responses: dict[str, Result[InstanceStatus, str]] = {}

    async def async_add_status(name: str, address: str) -> None:
        responses[name] = await _async_fetch_status(address)

    async with anyio.create_task_group() as tasks:
        for name, address in addresses.items():
            tasks.start_soon(async_add_status, name, address)
    rows = [_format_status(name, responses[name]) for name in addresses]
    statuses = [a.ok for a in responses.values() if a.is_ok()]
    latest_version = max((s.configuration_version for s in statuses), default=0)
    in_force_count = sum(s.configuration_version == latest_version for s in statuses)
    summary = f"{len(statuses)} of {len(addresses)} instances answer"
    if latest_version:
        count = f"{in_force_count} of {len(addresses)}"
        summary += f"; configuration {latest_version} is in force on {count}"
    fields = {
        "configuration_version": latest_version,
        "instances": [_make_status_fields(name, responses[name]) for name in addresses],
    }
    is_complete = len(statuses) == len(addresses)
    code = ExitCode.OK if is_complete else ExitCode.UNREACHABLE
    return CommandResult(code, (*rows, summary), fields, partial=not is_complete)


async def _async_fetch_status(address: str) -> Result[InstanceStatus, str]:
    match await async_call_admin(address, "GET", "/status"):
        case Result(tag="ok", ok=AdminResponse(200, data)):
            try:
                status = parse_model(InstanceStatus, data)
                version = convert_revision(status.configuration_version)
                return Ok(attrs.evolve(status, configuration_version=version))
            except ValueError as exc:
                return Error(str(exc))
        case Result(tag="ok", ok=response):
            return Error(response.describe_error())
        case Result(error=message):
            return Error(message)


def _format_status(name: str, response: Result[InstanceStatus, str]) -> str:
    match response:
        case Result(tag="ok", ok=status):
            state = "ready" if status.ready else "not ready"
            if status.draining:
                state = "draining"
            duties = ", ".join(map(str, status.duties)) or "none"
            return (
                f"{name}: {state}, configuration {status.configuration_version}, "
                f"{status.open_requests} open, duties: {duties}"
            )
        case Result(error=message):
            return f"{name}: unreachable, {message}"


def _make_status_fields(
    name: str, response: Result[InstanceStatus, str]
) -> dict[str, Any]:
    match response:
        case Result(tag="ok", ok=status):
            return {"name": name, "reached": True, **attrs.asdict(status)}
        case Result(error=message):
            return {"name": name, "reached": False, "error": message}


async def async_explain_key(
    addresses: dict[str, str], service: str, key: str
) -> CommandResult:
    """Show which backend server owns a key, as the first responding instance knows."""
    path = "/explain-key?" + urlencode({"service": service, "key": key})
    messages: list[str] = []
    for name, address in addresses.items():
        match await async_call_admin(address, "GET", path):
            case Result(tag="ok", ok=AdminResponse(200, data)):
                try:
                    return _make_explanation_result(
                        name, parse_model(KeyExplanation, data), data
                    )
                except ValueError as exc:
                    messages.append(f"{name}: {exc}")
            case Result(tag="ok", ok=AdminResponse(404) as response):
                error = response.describe_error()
                return CommandResult(ExitCode.REFUSED, (error,), {"error": error})
            case Result(tag="ok", ok=response):
                messages.append(f"{name}: {response.describe_error()}")
            case Result(error=message):
                messages.append(f"{name}: unreachable, {message}")
    return CommandResult(ExitCode.UNREACHABLE, tuple(messages), {"errors": messages})


def _make_explanation_result(
    name: str, explanation: KeyExplanation, data: Any
) -> CommandResult:
    """Return the result; only the granter responds with `state` and further fields."""
    lines = [
        f"{explanation.service}: position {explanation.position}, "
        f"owner {explanation.owner or 'none'}",
        f"assigned by {explanation.granter or 'nobody'}, "
        f"duty fencing token {explanation.duty_fence}",
    ]
    if "state" in data:
        lines.append(
            f"{data['state']}, fencing token {data.get('fence')}, positions "
            f"{data.get('first')} to {data.get('last')}, since {data.get('since_s')} s"
        )
    lines.append(f"as known to {name}")
    fields = {"instance": name, **attrs.asdict(explanation), **data}
    return CommandResult(ExitCode.OK, tuple(lines), fields)


async def async_start_drain(address: str) -> CommandResult:
    """Start draining an instance, given its admin address."""
    match await async_call_admin(address, "POST", "/drain"):
        case Result(tag="ok", ok=AdminResponse(200 | 202, data)):
            try:
                drain_response = parse_model(DrainResponse, data)
            except ValueError as exc:
                return _make_unreachable_result(str(exc))
            line = "planned stop started"
            return CommandResult(ExitCode.OK, (line,), attrs.asdict(drain_response))
        case Result(tag="ok", ok=refusal):
            error = refusal.describe_error()
            return CommandResult(ExitCode.REFUSED, (error,), {"error": error})
        case Result(error=message):
            return _make_unreachable_result(message)


def _make_unreachable_result(message: str) -> CommandResult:
    line = f"The instance cannot be reached: {message}."
    return CommandResult(ExitCode.UNREACHABLE, (line,), {"error": line})
