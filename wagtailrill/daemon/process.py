"""Assembly of one instance's process."""

import contextlib
import random
import secrets
import signal
from collections.abc import AsyncIterator, Iterator

import anyio
import structlog
import uvicorn
from anyio.abc import TaskGroup

from ..admission.models import QueueSettings
from ..core.context import Identity
from ..core.events import DrainRequested, InstancesListed, PeerReceived
from ..core.invariants import Invariants
from ..engine.draining import DrainState
from ..engine.engine import Engine, EngineSettings
from ..engine.models import DrainSettings
from ..engine.registry import make_registry
from ..gateway.application import CallerApplication
from ..gateway.const import CLEANUP_INTERVAL_S
from ..observability.logs import configure_logs, write_event
from ..observability.metrics import Metrics
from ..observability.tracing import JsonSpanExporter, Tracing
from ..peer.frame import FrameCodec
from ..peer.tcp import PeerTransport
from ..platform.http_store import HttpStore
from ..settings.models import InstanceSettings
from .admin import AdminApplication
from .driver import Driver, DriverParts

# The list is read seldom, since its calls count, and at once when a peer is not
# known by it or cannot be reached at its address.
INSTANCE_LIST_INTERVAL_S = 10.0
INSTANCE_LIST_SOONEST_S = 1.0
STOP_CHECK_INTERVAL_S = 0.25
INCARNATION_BITS = 62
CALLER_KEEP_ALIVE_S = 75


class Process:
    """One instance with its listeners, links and clients."""

    def __init__(self, cfg: InstanceSettings) -> None:
        identity = Identity(
            instance=cfg.instance,
            incarnation=secrets.randbits(INCARNATION_BITS) + 1,
            data_centre=cfg.data_centre,
            cell=cfg.cell,
        )
        drain = DrainSettings(cfg.load_balancer_lag_s, cfg.drain_s)
        invariants = Invariants(raise_errors=False, on_violation=_log_violation)
        self.cfg = cfg
        self.engine = Engine(
            EngineSettings(
                identity, cfg.deployment, drain, queues=_queue_settings(cfg)
            ),
            random.Random(secrets.randbits(INCARNATION_BITS)),
            invariants,
        )
        self.metrics = Metrics()
        self.tracing = Tracing(cfg.trace_sample_ratio, JsonSpanExporter())
        self.platform = HttpStore(cfg.store_addresses, cfg.store_timeout_s)
        codec = FrameCodec(make_registry(), cfg.peer_secrets)
        self.transport = PeerTransport(
            codec, lambda envelope: self.driver.dispatch(PeerReceived(envelope))
        )
        self.driver = Driver(
            DriverParts(
                engine=self.engine,
                store=self.platform,
                transport=self.transport,
                metrics=self.metrics,
                tracing=self.tracing,
                log=write_event,
                address_of=self.address_of,
                limits=cfg.limits,
            )
        )
        self.callers = CallerApplication(self.driver, cfg.limits)
        admin = AdminApplication(self.engine, self.metrics, self.driver.dispatch)
        self.caller_server = _server(self.callers, cfg.caller_address, cfg)
        self.admin_server = _server(admin, cfg.admin_address, cfg)

    def address_of(self, backend_server: str) -> str | None:
        """Return the address of a backend server in the configuration in force."""
        configuration = self.engine.configuration.current
        entry = configuration and configuration.backend_servers.get(backend_server)
        return entry.address if entry else None

    async def async_run(self) -> None:
        """Run until a planned stop has ended."""
        async with anyio.create_task_group() as tg:
            host, _, port = self.cfg.peer_address.rpartition(":")
            tg.start_soon(self.transport.async_serve, host, int(port))
            tg.start_soon(self._async_list_instances)
            tg.start_soon(self._async_drive)
            tg.start_soon(self.driver.async_close_unusable, CLEANUP_INTERVAL_S)
            tg.start_soon(self.callers.async_watch_callers)
            tg.start_soon(self.caller_server.serve)
            tg.start_soon(self.admin_server.serve)
            tg.start_soon(self._async_handle_signals)
            await self._async_wait_until_stopped()
            await self._async_stop_servers(tg)
        self.tracing.shutdown()

    async def _async_drive(self) -> None:
        async with anyio.create_task_group() as tg:
            await self.driver.async_run(tg)

    async def _async_list_instances(self) -> None:
        while True:
            entries = await self.platform.async_list()
            if entries:
                self.transport.set_addresses({e.instance: e.address for e in entries})
                self.driver.dispatch(InstancesListed(entries))
            await anyio.sleep(INSTANCE_LIST_SOONEST_S)
            settled = self.engine.membership.has_lease()
            wait_s = INSTANCE_LIST_INTERVAL_S if settled else 0.0
            with anyio.move_on_after(wait_s):
                await self.transport.async_wait_for_stale_address()

    async def _async_handle_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            await self._async_drain_on(signals)

    async def _async_drain_on(self, signals: AsyncIterator[signal.Signals]) -> None:
        async for _ in signals:
            self.driver.dispatch(DrainRequested())

    async def _async_wait_until_stopped(self) -> None:
        while self.engine.drain.state is not DrainState.STOPPED:
            await anyio.sleep(STOP_CHECK_INTERVAL_S)

    async def _async_stop_servers(self, tg: TaskGroup) -> None:
        self.caller_server.should_exit = True
        self.admin_server.should_exit = True
        while self.caller_server.started and self.driver.open_requests():
            await anyio.sleep(STOP_CHECK_INTERVAL_S)
        await anyio.sleep(2 * STOP_CHECK_INTERVAL_S)
        tg.cancel_scope.cancel()


class _Server(uvicorn.Server):
    """Server without signal handlers: a signal starts a planned stop instead."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals to the process."""
        yield


def _server(
    app: CallerApplication | AdminApplication, address: str, cfg: InstanceSettings
) -> uvicorn.Server:
    host, _, port = address.rpartition(":")
    # uvloop's libuv may use io_uring, so the event loop is asyncio's own.
    return _Server(
        uvicorn.Config(
            app,
            host=host.strip("[]"),
            port=int(port),
            loop="asyncio",
            http="httptools",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            limit_concurrency=cfg.limits.caller_connections_max,
            timeout_keep_alive=CALLER_KEEP_ALIVE_S,
        )
    )


def _queue_settings(cfg: InstanceSettings) -> QueueSettings:
    return QueueSettings(
        total=cfg.limits.queue_max_requests,
        deferrable=cfg.limits.deferrable_queue_max_requests,
    )


def _log_violation(name: str, detail: str) -> None:
    structlog.get_logger().error("invariant_violated", name=name, detail=detail)


async def async_run_instance(cfg: InstanceSettings) -> None:
    """Run one instance until a planned stop has ended."""
    configure_logs(cfg.log_level, cfg.instance)
    await Process(cfg).async_run()
