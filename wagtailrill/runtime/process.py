"""Assembles and runs the process of one instance; used by the daemon and `platform`."""

import asyncio
import functools
import random
import secrets
import signal
from collections.abc import Callable, Mapping

import anyio
import attrs
import structlog

from ..core.commands import LogEvent
from ..core.events import DrainRequested, PeerReceived
from ..core.invariants import Invariants
from ..core.log_events import LogName
from ..declaration.models import CallerLimits, Configuration
from ..gateway.body_memory import BodyMemory
from ..gateway.caller_listener import CallerListenerState
from ..gateway.connection_limit import ConnectionLimit
from ..gateway.dialects import BackendDialect, CallerDialect, ControlDialect
from ..observability.logs import EventLog, LineWriter
from ..observability.metrics import Metrics
from ..observability.tracer import Tracing
from ..peer.frame import FrameCodec
from ..peer.tcp import PeerTransport
from ..requests.refusals import DRAINING, NOT_READY
from ..router.messages import make_registry
from ..router.models import Allowances, EnvironmentAdapter, RouterSettings
from ..router.router import Router
from ..store.models import Store
from .admin import AdminHandler
from .const import (
    ADMIN_CONNECTIONS_MAX,
    ADMIN_PIPELINED_REQUESTS_MAX,
    ANSWER_MARGIN_S,
    CLEANUP_INTERVAL_S,
    DRAIN_CHECK_INTERVAL_S,
    RELOAD_INTERVAL_S,
    SEED_BITS,
    STOP_MARGIN_S,
)
from .driver import Driver, DriverParts
from .listeners import ADMIN_LIMITS, make_server

_LOG = structlog.get_logger()


@attrs.frozen
class ExternalInterfaces:
    """Client of the store, formats of HTTP messages, and tracing of a process."""

    store: Store
    caller_dialect: CallerDialect
    backend_dialect: BackendDialect
    control_dialect: ControlDialect
    tracing: Tracing


@attrs.frozen
class ProcessSettings:
    """Settings of a process; durations in seconds, addresses as `host:port`.

    After a request to stop, the load balancer may open new connections for
    `load_balancer_lag_s`; the process has to end within `stop_timeout_s`.
    `caller_limits` apply until a configuration sets others; `body_memory_bytes` limits
    what the process holds for all requests together, and `caller_connections_max` the
    connections of callers. `peer_secrets` sign the
    frames between instances; without them the fleet's secret in the store does.
    `reload_allowances` reads the settings again and returns the allowances, None if
    they have not changed.
    """

    router: RouterSettings
    adapter: EnvironmentAdapter
    external: ExternalInterfaces
    caller_address: str
    peer_address: str
    admin_address: str
    caller_limits: CallerLimits
    load_balancer_lag_s: float
    stop_timeout_s: float
    body_memory_bytes: int
    caller_connections_max: int
    peer_secrets: tuple[bytes, ...] = attrs.field(repr=False, default=())
    reload_allowances: Callable[[], Allowances | None] = lambda: None


class Process:
    """One instance with its listeners, its links to peers and its clients."""

    def __init__(self, cfg: ProcessSettings, writer: LineWriter) -> None:
        self.cfg = cfg
        invariants = Invariants(raise_errors=False, on_violation=_log_violation)
        rng = random.Random(secrets.randbits(SEED_BITS))
        self.router = Router(cfg.router, cfg.adapter, rng, invariants)
        self.metrics = Metrics()
        self.event_log = EventLog()
        self._writer = writer
        self.codec = FrameCodec(make_registry(), cfg.peer_secrets)
        self.transport = PeerTransport(
            self.codec,
            lambda envelope: self.driver.dispatch_event(PeerReceived(envelope)),
        )
        external = cfg.external
        self.body_memory = BodyMemory(cfg.body_memory_bytes)
        self.driver: Driver = Driver(
            DriverParts(
                router=self.router,
                store=external.store,
                caller_dialect=external.caller_dialect,
                backend_dialect=external.backend_dialect,
                control_dialect=external.control_dialect,
                transport=self.transport,
                metrics=self.metrics,
                tracing=external.tracing,
                write_log=self.event_log.write_event,
                memory=self.body_memory,
            )
        )
        self.caller_listener_state = CallerListenerState(
            self.driver,
            external.caller_dialect,
            cfg.caller_limits,
            provisional_refusal=NOT_READY,
            memory=self.body_memory,
            connection_limit=ConnectionLimit(cfg.caller_connections_max),
        )
        self.admin_listener_state = CallerListenerState(
            AdminHandler(
                self.router,
                self.metrics,
                self._start_drain,
                self.event_log.write_event,
            ),
            external.caller_dialect,
            ADMIN_LIMITS,
            memory=self.body_memory,
            connection_limit=ConnectionLimit(ADMIN_CONNECTIONS_MAX),
            pipelined_requests_max=ADMIN_PIPELINED_REQUESTS_MAX,
        )
        self._listeners = {
            "caller": self.caller_listener_state,
            "admin": self.admin_listener_state,
        }
        for name, state in self._listeners.items():
            state.connection_limit.on_closed = functools.partial(
                self._log_closed_connections, name
            )
        self.router.configuration.add_listener("callers", self._apply_configuration)
        self.router.members.add_listener(self._update_peers)
        self.metrics.add_gauge_source(self._collect_gauges)
        self.caller_server = make_server(self.caller_listener_state, cfg.caller_address)
        self.admin_server = make_server(self.admin_listener_state, cfg.admin_address)
        self._stop_requested = anyio.Event()

    async def async_run(self) -> None:
        """Run the instance until a planned stop has ended."""
        _LOG.info("started", caller_address=self.cfg.caller_address)
        async with anyio.create_task_group() as tg:
            host, _, port = self.cfg.peer_address.rpartition(":")
            tg.start_soon(self.transport.async_serve, host, int(port))
            tg.start_soon(self._async_handle_signals)
            tg.start_soon(self.caller_server.serve)
            tg.start_soon(self.admin_server.serve)
            tg.start_soon(self._async_clean_up_connections)
            tg.start_soon(self._async_poll_settings)
            self.driver.start()
            await self._stop_requested.wait()
            await self._async_drain()
            tg.cancel_scope.cancel()
        self.cfg.external.tracing.shutdown()
        _LOG.info("stopped", open_requests=self.driver.count_open_requests())
        self._writer.flush()

    def _apply_configuration(self, configuration: Configuration) -> None:
        self.caller_listener_state.provisional_refusal = None
        limits = configuration.declaration.caller_limits
        if limits is not None:
            self.caller_listener_state.limits = limits

    def _update_peers(self) -> None:
        members = self.router.members.list_contacts().values()
        self.transport.set_addresses({m.instance: m.address for m in members})
        if not self.cfg.peer_secrets:
            self.codec.secrets = self.router.members.secrets

    def _collect_gauges(self) -> Mapping[str, float]:
        status = self.router.get_status()
        gauges = {n: float(v) for n, v in status.items() if isinstance(v, bool | int)}
        return {
            **gauges,
            **self.router.collect_gauges(),
            **self._collect_connection_gauges(),
            "body_held_bytes": self.body_memory.held_bytes,
            "body_held_peak_bytes": self.body_memory.peak_bytes,
            "bodies_given_up": self.body_memory.given_up_count,
            "log_lines_left_out": self.event_log.suppressed_count,
            "log_lines_dropped": self._writer.dropped_count,
        }

    def _collect_connection_gauges(self) -> Mapping[str, float]:
        gauges: dict[str, float] = {}
        for name, state in self._listeners.items():
            limit = state.connection_limit
            gauges[f"{name}_connections"] = len(state.connections)
            gauges[f"{name}_connections_max"] = limit.connections_max
            gauges[f"{name}_connections_closed"] = limit.closed_count
        return gauges

    def _log_closed_connections(self, listener: str, count: int) -> None:
        state = self._listeners[listener]
        self.event_log.write_event(
            LogEvent(
                LogName.CONNECTIONS_CLOSED,
                (
                    ("listener", listener),
                    ("count", count),
                    ("connections", len(state.connections)),
                    ("connections_max", state.connection_limit.connections_max),
                ),
            )
        )

    async def _async_handle_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for received_signal in signals:
                if received_signal is signal.SIGHUP:
                    self._reload_settings("signal")
                    continue
                _LOG.info("stop_requested", signal=received_signal.name)
                self._start_drain()

    def _start_drain(self) -> None:
        self.driver.dispatch_event(
            DrainRequested(self.cfg.stop_timeout_s - STOP_MARGIN_S - ANSWER_MARGIN_S)
        )
        self._stop_requested.set()

    async def _async_poll_settings(self) -> None:
        while True:
            await anyio.sleep(RELOAD_INTERVAL_S)
            self._reload_settings("interval")

    def _reload_settings(self, reason: str) -> None:
        allowances = self.cfg.reload_allowances()
        if allowances is not None:
            self.router.apply_allowances(allowances)
            _LOG.info("settings_reloaded", reason=reason, allowances=str(allowances))
        elif reason == "signal":
            _LOG.info("settings_unchanged", reason=reason)

    async def _async_drain(self) -> None:
        """Finish open requests while the load balancer removes this instance."""
        self.caller_listener_state.is_stopping = True
        end_s = anyio.current_time() + self.cfg.stop_timeout_s - STOP_MARGIN_S
        await anyio.sleep(
            min(self.cfg.load_balancer_lag_s, self.cfg.stop_timeout_s / 2)
        )
        while anyio.current_time() < end_s and self._has_open_work():
            is_final = anyio.current_time() >= end_s - ANSWER_MARGIN_S
            for conn in list(self.caller_listener_state.connections):
                if is_final:
                    conn.refuse_unfinished_request(DRAINING)
                conn.shutdown()
            await anyio.sleep(DRAIN_CHECK_INTERVAL_S)
        # What arrives from now on counts as unread, and callers send it again.
        self.caller_listener_state.end()

    def _has_open_work(self) -> bool:
        state = self.caller_listener_state
        return bool(state.connections) or self.driver.count_open_requests() > 0

    async def _async_clean_up_connections(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_S)
            self.driver.pools.drop_expired_connections()
            now_s = loop.time()
            for state in self._listeners.values():
                for conn in list(state.connections):
                    conn.enforce_timeouts(now_s)


def _log_violation(name: str, detail: str) -> None:
    _LOG.error("invariant_violated", name=name, detail=detail)
