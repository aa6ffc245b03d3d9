"""The router's process: start, signals and planned stop."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import gc
import json
import logging
import os
import signal

import aiomisc
from oslo_config import cfg
import uvloop

from toucanrudder import clock
from toucanrudder import settings
from toucanrudder.admin import application as admin_application
from toucanrudder.observability import logs
from toucanrudder.observability import metrics
from toucanrudder.peers import peering as peerings
from toucanrudder.router import admin_state
from toucanrudder.router import application
from toucanrudder.router import assembly
from toucanrudder.router import peering
from toucanrudder.router import services
from toucanrudder.router import state as states

LOG = logging.getLogger(__name__)

#: Threads are needed only for the validation of documents.
POOL_SIZE = 2

#: Exit status after a second signal during a planned stop.
EXIT_FORCED = 70


def tune_garbage_collector() -> None:
    """Avoid pauses of the relay by tens of milliseconds in the collector.

    A full collection traverses every object of the imported libraries, and
    the default thresholds start one every few hundred requests.  All
    streams stall meanwhile.  Objects that exist at start never become
    garbage, so they are frozen, and full collections are made rare.  Those of
    young objects stay frequent: what errors and aborted requests leave in
    reference cycles would otherwise take more memory than the requests
    themselves.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(2_000, 4, 10)


def disable_io_uring() -> None:
    """Keep libuv from using io_uring.  Call before creating any loop."""
    os.environ["UV_USE_IO_URING"] = "0"


def run(settings_path: str) -> None:
    """Serve until a signal has led to a planned stop.

    Parameters
    ----------
    settings_path : str
        Path of the INI file.

    Raises
    ------
    RudderError
        ``settings_invalid``.
    """
    disable_io_uring()
    conf = settings.load(settings_path)
    logs.set_up(conf.logging.format, conf.logging.level)
    tune_garbage_collector()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(conf))


def _catch_signals() -> asyncio.Event:
    stop = asyncio.Event()

    def on_signal() -> None:
        if stop.is_set():
            LOG.warning("second signal: exiting at once")
            os._exit(EXIT_FORCED)
        stop.set()

    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, on_signal)
    return stop


async def serve(conf: cfg.ConfigOpts) -> None:
    """Serve in the running loop until a planned stop is complete."""
    stop = _catch_signals()
    async with assembly.open_state(conf) as state:
        async with serving(state) as listeners:
            _print_ready_line(listeners)
            await stop.wait()
            await drain(state)
        await state.background.drain(1.0)
    LOG.info("stopped")


def build_listeners(
    state: states.RouterState, peers: peerings.Peering
) -> dict[str, services.ListenService | peerings.PeerService]:
    """Return the router's listeners by their key in the ready line."""
    conf = state.conf.router
    admin = admin_application.build(admin_state.providers(state, peers.node))
    return {
        "address": services.ListenService(
            application=application.build(state),
            account=state.account,
            host=str(conf.host),
            port=conf.port,
            stop_timeout_s=conf.stop_timeout_s,
        ),
        "admin_address": services.ListenService(
            application=admin,
            account=state.account,
            host=str(conf.host),
            port=conf.admin_port,
            tls=admin_state.tls(state.conf),
        ),
        "peer_address": peerings.PeerService(
            peering=peers, host=str(conf.host), port=conf.peer_port
        ),
    }


@contextlib.asynccontextmanager
async def serving(
    state: states.RouterState,
) -> AsyncIterator[dict[str, services.ListenService | peerings.PeerService]]:
    """Run the controllers and listeners; yield the listeners."""
    metrics.gauge(
        "toucanrudder_caller_memory_bytes",
        "What connections of callers hold, and what they may hold",
        state.account.memory_bytes,
    )
    metrics.gauge(
        "toucanrudder_caller_connections",
        "Connections of callers, and how many there may be",
        state.account.connection_counts,
    )
    peers = peering.peering(state)
    listeners = build_listeners(state, peers)
    entrypoint = aiomisc.entrypoint(
        *assembly.controllers(state, peers),
        *listeners.values(),
        catch_signals=(),
        log_config=False,
        pool_size=POOL_SIZE,
    )
    async with entrypoint:
        yield listeners


def _print_ready_line(listeners: dict[str, services.ListenService]) -> None:
    addresses = {
        name: listener.address for name, listener in listeners.items()
    }
    print(json.dumps({"ready": True, **addresses}), flush=True)


async def drain(state: states.RouterState) -> None:
    """Wait until no request is open and no more are coming.

    The router first reports that it is not ready and asks callers to close
    their connections, but still serves requests that arrive, as long as their
    answers begin before the end: a planned stop must cut no request.
    """
    LOG.info("stopping")
    state.stopping = True
    conf = state.conf.router
    state.stopping_since_s = clock.now_s()
    state.stop_at_s = state.stopping_since_s + conf.stop_timeout_s
    try:
        async with asyncio.timeout(conf.stop_timeout_s):
            await state.exchanges.wait_idle(conf.drain_s)
    except TimeoutError:
        LOG.warning("requests still open after stop_timeout_s")
        await state.stop_limits.end_all()
    await state.claims.drain(conf.drain_s)
