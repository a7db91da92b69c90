"""The node program, which runs on each entry VM of the platform."""

import asyncio
import os
import socket
import zlib

from aiohttp import web

from ..core.logsink import install_sink, log
from ..dispatch.interface import LogLimits
from ..node.configuration import ConfigurationView
from ..node.evacuation import EvacuationView
from ..node.gauges import write_metrics
from ..node.program import Node, NodeAdapters
from ..node.registry import Registry
from ..node.setting import NodeSettings, load_node_settings, merge_settings
from . import configuration, evacuation, registry
from .advisor import PlatformAdvisor
from .earlysignals import Signals
from .frontend import Frontend
from .http import HttpClient
from .listener import Listener
from .log import PlatformLog
from .relay import Relay
from .vms import PlatformVms

LEDGER_TOPIC = "keyed.caroblead"
CONNECTIONS_PER_VM = 6
CONNECTIONS_TO_STORE = 16
CONNECTIONS_PER_PEER = 8
# A peer that takes longer to accept a connection counts as out of reach.
PEER_CONNECT_TIMEOUT_S = 0.3
# Fraction of the grace period of a planned stop in which callers' connections are closed after the
# drain, and how long the others may take.
CLOSE_FRACTION = 0.2
CLOSE_METRICS_S = 0.05


def make_node(settings: NodeSettings, store_http: HttpClient, vm_http: HttpClient) -> Node:
    """Creates a node with its adapters.

    The seed of its random numbers is made of its name and the process id.
    """

    def make_log(topic: str) -> PlatformLog:
        limits = LogLimits(settings.record_bytes, settings.request_bytes)
        return PlatformLog(store_http, settings.store, topic, settings.link_mbps, limits)

    adapters = NodeAdapters(
        ledger_log=make_log(LEDGER_TOPIC),
        configuration_log=make_log(configuration.TOPIC),
        registry_log=make_log(registry.TOPIC),
        vms=PlatformVms(vm_http),
        advisor=PlatformAdvisor(store_http, settings.advisor),
    )
    configuration_view = ConfigurationView(configuration.KEY, configuration.decode_configuration)
    seed = zlib.crc32(settings.node.encode()) ^ os.getpid()
    return Node(
        settings,
        adapters,
        configuration_view,
        Registry(registry.decode_vm),
        seed,
        EvacuationView(evacuation.decode_evacuated_zone),
    )


def make_relay(node: Node, http: HttpClient) -> Relay | None:
    """Returns the way to pass calls on to peers, which serve callers at the same port."""
    if not node.settings.relay:
        return None
    port = int(node.settings.callers.rsplit(":", 1)[1])
    return Relay(
        node.settings.node,
        http,
        lambda: node.ledger.nodes.values(),
        port,
        node.access,
    )


async def answer_metrics(node: Node) -> web.Response:
    """Returns the metrics of the node as text."""
    return web.Response(text=write_metrics(node))


async def start_metrics(node: Node, listener: Listener):
    """Serves the metrics of the node over HTTP."""
    await listener.start(node.settings.host, node.settings.metrics_port)


async def serve(
    path: str, settings: NodeSettings, caller_socket: socket.socket | None, signals: Signals
):
    """Runs a node until it is told to stop, then drains it; SIGHUP reloads the settings.

    The settings are those that were read from ``path``. Callers are served through
    ``caller_socket`` if it is given, which listens already.
    """
    stop_requested = asyncio.Event()
    install_sink(settings.node)
    log("node:starting", zone=settings.zone, lease_s=settings.lease_s)
    store_http, vm_http = HttpClient(CONNECTIONS_TO_STORE), HttpClient(CONNECTIONS_PER_VM)
    node = make_node(settings, store_http, vm_http)
    loop = asyncio.get_running_loop()
    signals.handle(loop, stop_requested.set, lambda: reload_settings(path, node))
    relay_http = HttpClient(CONNECTIONS_PER_PEER, PEER_CONNECT_TIMEOUT_S)
    frontend = Frontend(
        node.request_handler, node.is_ready, node.metrics, make_relay(node, relay_http)
    )
    metrics_listener = Listener(lambda request: answer_metrics(node), "metrics")
    error = await start_all(node, frontend, metrics_listener, caller_socket)
    if error is None:
        await stop_requested.wait()
    signals.request_stop()
    try:
        await node.drain(frontend, signals.stop_requested_s)
    finally:
        await frontend.stop_listening(node.settings.grace_s * CLOSE_FRACTION)
        await metrics_listener.close(CLOSE_METRICS_S)
        await node.close()
        await store_http.close()
        await vm_http.close()
        await relay_http.close()
    if error is not None:
        raise error


async def start_all(
    node: Node, frontend: Frontend, metrics_listener: Listener, caller_socket: socket.socket | None
) -> Exception | None:
    """Starts all parts of a node; returns the error that kept one of them from starting.

    Such a node is stopped in the planned way, since callers may have been accepted. They are served
    first, because they may be waiting since before the program was loaded.
    """
    settings = node.settings
    try:
        await frontend.start(settings.callers, settings.readiness, caller_socket)
        await node.start()
        await start_metrics(node, metrics_listener)
    except Exception as error:
        log("node:not_started", error=f"{type(error).__name__}: {error}")
        return error
    log("node:started", incarnation=node.election.incarnation)
    return None


def reload_settings(path: str, node: Node):
    """Reads the settings again and applies those that may change at run time.

    Changes to the others, such as addresses, need a restart and are only logged. If any setting is
    invalid, none is applied.
    """
    checked = load_node_settings(path)
    if checked.faults:
        details = [f"{fault.field}: {fault.detail}" for fault in checked.faults]
        log("settings:rejected", faults=details)
        return
    merged = merge_settings(node.settings, checked.value)
    node.settings = node.access.settings = merged.settings
    log("settings:reloaded", changed=merged.changed, needs_restart=merged.needs_restart)


def run(path: str, settings: NodeSettings, caller_socket: socket.socket | None, signals: Signals):
    """Runs the node program, see :func:`serve`."""
    asyncio.run(serve(path, settings, caller_socket, signals))
