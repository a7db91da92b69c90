"""Entry points of the gate, the placer and the platform stand-in as processes."""

import asyncio
import contextlib
import json
import signal
import sys
from pathlib import Path
from typing import Annotated

import cyclopts
import eliot

from .. import __version__
from ..config.setting import SiteSettings, find_node, load_settings
from ..config.ticket import read_ticket
from ..core.outcome import describe_problem
from ..events.event import TicketAccepted
from ..events.timeline import Timeline
from ..fleet.follower import STREAM
from ..gate.operation import make_ticket_event
from ..gate.program import Gate
from ..placer.program import Placer
from ..standin.server import PlatformServer

EXIT_USAGE = 2
SettingsPath = Annotated[str, cyclopts.Parameter(name="--settings")]


def load_or_exit(path: str) -> SiteSettings:
    """Reads settings, or prints every error and ends the program."""
    checked = load_settings(path)
    if checked.faults:
        for fault in checked.faults:
            print(describe_problem(fault), file=sys.stderr)
        sys.exit(EXIT_USAGE)
    return checked.value


def open_timeline(site: SiteSettings, name: str) -> Timeline:
    """Opens the timeline of a program, in the events directory if the settings name one."""
    if not site.events_directory:
        return Timeline(name)
    directory = Path(site.events_directory)
    directory.mkdir(parents=True, exist_ok=True)
    return Timeline(name, str(directory / f"{name.replace('/', '-')}.events.jsonl"))


def _find_node_or_exit(site: SiteSettings, name: str):
    node = find_node(site, name)
    if node is None:
        known = ", ".join(item.node for item in site.nodes)
        print(f"there is no node {name!r}; the settings name {known}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    return node


async def _serve_until_signal(process) -> None:
    """Starts a program and drains it on SIGTERM or SIGINT, or once it has stopped by itself."""
    await process.start()
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    stopped_task = asyncio.ensure_future(process.stopped.wait())
    await asyncio.wait(
        {asyncio.ensure_future(stop.wait()), stopped_task}, return_when=asyncio.FIRST_COMPLETED
    )
    await process.drain()
    process.timeline.close()


def _run_node_program(program: type, name: str, tokens=None):
    app = cyclopts.App(name=f"caroblead-{name}", version=__version__)

    @app.default
    def serve(settings: SettingsPath, node: str):
        """Serve until SIGTERM, then finish the work in flight and exit.

        Parameters
        ----------
        settings: the site's settings, a JSON file
        node: the entry VM of the settings on which this program runs
        """
        site = load_or_exit(settings)
        chosen = _find_node_or_exit(site, node)
        eliot.to_file(sys.stdout)

        async def main():
            timeline = open_timeline(site, f"{node}/{name}")
            await _serve_until_signal(program(site, chosen, timeline))

        asyncio.run(main())

    app(tokens)


def run_gate(tokens=None):
    """Runs ``caroblead-gate``."""
    _run_node_program(Gate, "gate", tokens)


def run_placer(tokens=None):
    """Runs ``caroblead-placer``."""
    _run_node_program(Placer, "placer", tokens)


class PlatformProgram:
    """Runs the platform stand-in: publishes the first ticket and serves until it is stopped."""

    def __init__(self, site: SiteSettings, timeline: Timeline):
        self.site = site
        self.timeline = timeline
        self.server = PlatformServer(site.standin, timeline, grace_s=site.limits.grace_s)
        self.stopped = asyncio.Event()

    async def start(self):
        """Starts the server and publishes the first ticket, if the settings have one."""
        await self.server.start()
        if self.site.standin.first_ticket:
            publish_first_ticket(self.server, self.timeline, self.site.standin.first_ticket)

    async def drain(self):
        """Closes the server at once, without waiting for calls in flight."""
        await self.server.close()
        self.stopped.set()


def publish_first_ticket(server: PlatformServer, timeline: Timeline, raw: dict):
    """Appends a ticket to the log, as if an operator had published it before the site started."""
    ticket = read_ticket(raw).value
    record = json.dumps({"ticket": ticket.model_dump(), "nonce": "first"})
    server.log.append(STREAM, [record], server.loop.time())
    event: TicketAccepted = make_ticket_event(ticket)
    timeline.emit(event)


def run_platform(tokens=None):
    """Runs ``caroblead-platform``."""
    app = cyclopts.App(name="caroblead-platform", version=__version__)

    @app.default
    def serve(settings: SettingsPath):
        """Emulate the users' platform: the log, the VM list, workers and endpoints.

        Parameters
        ----------
        settings: the site's settings, a JSON file with a section ``standin``
        """
        site = load_or_exit(settings)
        if site.standin is None:
            print(f"{settings}: standin: this section is required", file=sys.stderr)
            sys.exit(EXIT_USAGE)

        async def main():
            timeline = open_timeline(site, "platform")
            await _serve_until_signal(PlatformProgram(site, timeline))

        with contextlib.suppress(KeyboardInterrupt):
            asyncio.run(main())

    app(tokens)
