"""Assembly of one instance's process."""

import asyncio
import contextlib
import random
import secrets
import signal
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import anyio
import attrs
import structlog
import uvicorn

from ..core.events import DrainRequested, PeerReceived
from ..core.invariants import Invariants
from ..declaration.models import CallerLimits, Configuration
from ..gateway.caller_protocol import CallerServerState, protocol_class
from ..gateway.dialects import BackendDialect, CallerDialect, ControlDialect
from ..observability.logs import EventLog, LineWriter
from ..observability.metrics import Metrics
from ..observability.tracer import Tracing
from ..peer.frame import FrameCodec
from ..peer.tcp import PeerTransport
from ..router.messages import make_registry
from ..router.models import Allowances, EnvironmentAdapter, RouterSettings
from ..router.router import Router
from ..store.models import Store
from .admin import AdminApplication
from .const import (
    CLEANUP_INTERVAL_S,
    DRAIN_TICK_S,
    RELOAD_INTERVAL_S,
    SEED_BITS,
    STOP_MARGIN_S,
)
from .driver import Driver, DriverParts

_LOG = structlog.get_logger()


@attrs.frozen
class Surroundings:
    """How a process speaks to the outside."""

    store: Store
    callers: CallerDialect
    backends: BackendDialect
    control: ControlDialect
    tracing: Tracing


@attrs.frozen
class ProcessSettings:
    """Settings of a process; durations in seconds.

    After a request to stop, the load balancer may send new connections for
    `balancer_lag_s`; everything has to end within `stop_s`. `reload` reads the
    settings again and returns the allowances, None if they are as before.
    """

    router: RouterSettings
    adapter: EnvironmentAdapter
    surroundings: Surroundings
    caller_address: str
    peer_address: str
    admin_address: str
    caller_limits: CallerLimits
    balancer_lag_s: float
    stop_s: float
    peer_secrets: tuple[bytes, ...] = attrs.field(repr=False, default=())
    reload: Callable[[], Allowances | None] = lambda: None


class Process:
    """One instance with its listeners, links and clients."""

    def __init__(self, cfg: ProcessSettings, writer: LineWriter) -> None:
        self.cfg = cfg
        invariants = Invariants(raise_errors=False, on_violation=_log_violation)
        rng = random.Random(secrets.randbits(SEED_BITS))
        self.router = Router(cfg.router, cfg.adapter, rng, invariants)
        self.metrics = Metrics()
        self.events = EventLog()
        self._writer = writer
        self.codec = FrameCodec(make_registry(), cfg.peer_secrets)
        self.transport = PeerTransport(
            self.codec, lambda envelope: self.driver.dispatch(PeerReceived(envelope))
        )
        around = cfg.surroundings
        self.driver: Driver = Driver(
            DriverParts(
                decisions=self.router,
                store=around.store,
                callers=around.callers,
                backends=around.backends,
                control=around.control,
                transport=self.transport,
                metrics=self.metrics,
                tracing=around.tracing,
                log=self.events.write,
            )
        )
        self.callers = CallerServerState(self.driver, around.callers, cfg.caller_limits)
        self.router.configuration.add_listener(self._configure)
        self.router.members.add_listener(self._members_changed)
        self.metrics.add_source(self._gauges)
        admin = AdminApplication(self.router, self.metrics, self._begin_stop)
        self.caller_server = _server(
            _no_application, cfg.caller_address, protocol_class(self.callers)
        )
        self.admin_server = _server(admin, cfg.admin_address, "httptools")
        self._stopping = anyio.Event()

    async def async_run(self) -> None:
        """Run until a planned stop has ended."""
        _LOG.info("started", caller_address=self.cfg.caller_address)
        async with anyio.create_task_group() as tg:
            host, _, port = self.cfg.peer_address.rpartition(":")
            tg.start_soon(self.transport.async_serve, host, int(port))
            tg.start_soon(self._async_handle_signals)
            tg.start_soon(self.caller_server.serve)
            tg.start_soon(self.admin_server.serve)
            tg.start_soon(self._async_watch_connections)
            tg.start_soon(self._async_watch_settings)
            self.driver.start()
            await self._stopping.wait()
            await self._async_stop()
            tg.cancel_scope.cancel()
        self.cfg.surroundings.tracing.shutdown()
        _LOG.info("stopped", open_requests=self.driver.open_requests())
        self._writer.flush()

    def _configure(self, configuration: Configuration) -> None:
        limits = configuration.declaration.caller_limits
        if limits is not None:
            self.callers.limits = limits

    def _members_changed(self) -> None:
        members = self.router.members.get_other_members().values()
        self.transport.set_addresses({m.instance: m.address for m in members})
        secret = self.router.members.secret
        if not self.cfg.peer_secrets and secret:
            self.codec.secrets = (secret,)

    def _gauges(self) -> Mapping[str, float]:
        status = self.router.get_status()
        gauges = {n: float(v) for n, v in status.items() if isinstance(v, bool | int)}
        return {
            **gauges,
            **self.router.collect_gauges(),
            "caller_connections": len(self.callers.connections),
            "log_lines_left_out": self.events.left_out,
            "log_lines_dropped": self._writer.dropped,
        }

    async def _async_handle_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for received in signals:
                if received is signal.SIGHUP:
                    self._reload("signal")
                    continue
                _LOG.info("stop_requested", signal=received.name)
                self._begin_stop()

    def _begin_stop(self) -> None:
        self.driver.dispatch(DrainRequested(self.cfg.stop_s - STOP_MARGIN_S))
        self._stopping.set()

    async def _async_watch_settings(self) -> None:
        while True:
            await anyio.sleep(RELOAD_INTERVAL_S)
            self._reload("interval")

    def _reload(self, reason: str) -> None:
        allowances = self.cfg.reload()
        if allowances is not None:
            self.router.apply_allowances(allowances)
            _LOG.info("settings_reloaded", reason=reason, allowances=str(allowances))
        elif reason == "signal":
            _LOG.info("settings_unchanged", reason=reason)

    async def _async_stop(self) -> None:
        """Finish open requests while the load balancer takes this instance out."""
        self.callers.stopping = True
        end_s = anyio.current_time() + self.cfg.stop_s - STOP_MARGIN_S
        await anyio.sleep(min(self.cfg.balancer_lag_s, self.cfg.stop_s / 2))
        while anyio.current_time() < end_s:
            for conn in list(self.callers.connections):
                conn.shutdown()
            if not self.callers.connections and not self.driver.open_requests():
                return
            await anyio.sleep(DRAIN_TICK_S)

    async def _async_watch_connections(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_S)
            self.driver.drop_expired_connections()
            now_s = loop.time()
            for conn in list(self.callers.connections):
                conn.check_times(now_s)


class _Server(uvicorn.Server):
    """Server without signal handlers: a signal starts a planned stop instead."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals to the process."""
        yield


async def _no_application(scope: Any, receive: Any, send: Any) -> None:
    """Stand for an application: the protocol serves requests itself."""


def _server(app: Any, address: str, http: Any) -> uvicorn.Server:
    host, _, port = address.rpartition(":")
    # uvloop's libuv may use io_uring, so the event loop is asyncio's own.
    return _Server(
        uvicorn.Config(
            app,
            host=host.strip("[]"),
            port=int(port),
            loop="asyncio",
            http=http,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
        )
    )


def _log_violation(name: str, detail: str) -> None:
    _LOG.error("invariant_violated", name=name, detail=detail)
