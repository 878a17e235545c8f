"""Assembly of one instance's process."""

import asyncio
import contextlib
import random
import secrets
import signal
from collections.abc import Iterator
from typing import Any

import anyio
import attrs
import structlog
import uvicorn

from ..core.events import DrainRequested, PeerReceived
from ..core.invariants import Invariants
from ..declaration.models import CallerLimits, Configuration
from ..gateway.caller_protocol import CallerServerState, protocol_class
from ..gateway.const import CLEANUP_INTERVAL_S
from ..gateway.dialects import BackendDialect, CallerDialect, ControlDialect
from ..observability.logs import write_event
from ..peer.frame import FrameCodec
from ..peer.tcp import PeerTransport
from ..router.messages import make_registry
from ..router.models import RouterSettings
from ..router.router import Adapter, Router
from ..store.models import Store
from .driver import Driver, DriverParts
from .probes import ProbeApplication

_LOG = structlog.get_logger()
SEED_BITS = 62
DRAIN_TICK_S = 0.1
# The load balancer stops sending new connections after two missed questions.
BALANCER_LAG_S = 2.6


@attrs.frozen
class ProcessSettings:
    """Settings of a process and how it speaks to the outside."""

    router: RouterSettings
    adapter: Adapter
    store: Store
    callers: CallerDialect
    backends: BackendDialect
    control: ControlDialect
    caller_address: str
    peer_address: str
    probe_address: str
    caller_limits: CallerLimits
    stop_s: float = 6.0


class Process:
    """One instance with its listeners and clients."""

    def __init__(self, cfg: ProcessSettings) -> None:
        self.cfg = cfg
        invariants = Invariants(raise_errors=False, on_violation=_log_violation)
        self.router = Router(
            cfg.router,
            cfg.adapter,
            random.Random(secrets.randbits(SEED_BITS)),
            invariants,
        )
        self.codec = FrameCodec(make_registry(), ())
        self.transport = PeerTransport(
            self.codec, lambda envelope: self.driver.dispatch(PeerReceived(envelope))
        )
        self.driver: Driver = Driver(
            DriverParts(
                decisions=self.router,
                store=cfg.store,
                callers=cfg.callers,
                backends=cfg.backends,
                control=cfg.control,
                transport=self.transport,
                log=write_event,
            )
        )
        self.callers = CallerServerState(self.driver, cfg.callers, cfg.caller_limits)
        self.router.configuration.add_listener(self._configure)
        self.router.members.add_listener(self._members_changed)
        probes = ProbeApplication(self.router)
        self.caller_server = _server(
            None, cfg.caller_address, protocol_class(self.callers)
        )
        self.probe_server = _server(probes, cfg.probe_address, "httptools")
        self._stopping = anyio.Event()

    async def async_run(self) -> None:
        """Run until a planned stop has ended."""
        async with anyio.create_task_group() as tg:
            host, _, port = self.cfg.peer_address.rpartition(":")
            tg.start_soon(self.transport.async_serve, host, int(port))
            tg.start_soon(self._async_handle_signals)
            tg.start_soon(self.caller_server.serve)
            tg.start_soon(self.probe_server.serve)
            tg.start_soon(self._async_watch_connections)
            self.driver.start()
            await self._stopping.wait()
            await self._async_stop()
            tg.cancel_scope.cancel()

    def _configure(self, configuration: Configuration) -> None:
        limits = configuration.declaration.caller_limits
        if limits is not None:
            self.callers.limits = limits

    def _members_changed(self) -> None:
        members = self.router.members.live().values()
        self.transport.set_addresses({m.instance: m.address for m in members})
        secret = self.router.members.secret
        self.codec.secrets = (secret,) if secret else ()

    async def _async_handle_signals(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for received in signals:
                if received is signal.SIGHUP:
                    _LOG.info("reload_requested")
                    continue
                _LOG.info("stop_requested", signal=received.name)
                self.driver.dispatch(DrainRequested())
                self._stopping.set()

    async def _async_stop(self) -> None:
        """Finish open requests while the load balancer takes this instance out."""
        self.callers.stopping = True
        end_s = anyio.current_time() + self.cfg.stop_s * 0.9
        await anyio.sleep(BALANCER_LAG_S)
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
            app or _no_application,
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
