"""Tests of the node program as a process that gets signals at awkward moments."""

import json
import signal
import subprocess
import sys
import threading

import pytest

from ..standin.network import choose_network
from .earlysocket import SETTINGS_VARIABLE

GRACE_S = 0.5
LIFETIME_S = 30.0
# Runs the node program, which sends itself signals when it gets to a certain function.
PROGRAM = """
import gc, os, signal, socket
from caroblead.platform import __main__, earlysocket, serve
inner = {function}
def send_signals(*arguments, **options):
    for name in {names}:
        os.kill(os.getpid(), getattr(signal, name))
    return inner(*arguments, **options)
{function} = send_signals
__main__.main()
"""


class NodeProcess:
    """The node program as a process, without a store that answers."""

    def __init__(self, folder, function: str, names: list[str]):
        callers, readiness, peers, metrics, store = 8183, 8184, 7420, 9464, 8182
        host = f"{choose_network()}.1"
        self.settings = {
            "node": "n0",
            "zone": "a",
            "host": host,
            "callers": f"{host}:{callers}",
            "readiness": f"{host}:{readiness}",
            "peer_port": peers,
            "metrics_port": metrics,
            "store": f"{host}:{store}",
            "grace_s": GRACE_S,
        }
        path = folder / "n0.json"
        path.write_text(json.dumps(self.settings))
        self.process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM.format(function=function, names=names)],
            env={SETTINGS_VARIABLE: str(path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.watchdog = threading.Timer(LIFETIME_S, self.process.kill)
        self.watchdog.start()

    def wait_for_line(self, word: str) -> bool:
        """Returns whether the process prints a line with a word before it ends."""
        return any(word in line for line in self.process.stdout)

    def wait_for_end(self) -> int:
        """Returns the exit status; a process that outlives :data:`LIFETIME_S` is killed."""
        status = self.process.wait()
        self.watchdog.cancel()
        self.process.stdout.close()
        return status


@pytest.mark.parametrize(
    "function",
    [
        "earlysocket.load_settings_or_exit",
        "socket.create_server",
        "gc.disable",
        "serve.make_node",
        "serve.start_metrics",
    ],
)
def test_reload_that_is_requested_during_the_start_does_not_end_the_process(tmp_path, function):
    node = NodeProcess(tmp_path, function, ["SIGHUP"])
    started = node.wait_for_line("node:started")
    node.process.terminate()
    assert (started, node.wait_for_end()) == (True, 0)


@pytest.mark.parametrize("function", ["socket.create_server", "gc.disable", "serve.make_node"])
def test_reload_that_is_requested_after_the_settings_were_read_is_not_lost(tmp_path, function):
    node = NodeProcess(tmp_path, function, ["SIGHUP"])
    reloaded = node.wait_for_line("settings:reloaded")
    node.process.terminate()
    assert (reloaded, node.wait_for_end()) == (True, 0)


def test_stop_that_is_requested_while_the_node_already_listens_drains_it(tmp_path):
    node = NodeProcess(tmp_path, "serve.start_metrics", ["SIGTERM"])
    assert node.wait_for_line("node:stopped")
    assert node.wait_for_end() == 0


def test_signals_that_arrive_during_the_drain_do_not_cut_it_short(tmp_path):
    signals = ["SIGHUP", "SIGTERM", "SIGHUP", "SIGTERM"]
    node = NodeProcess(tmp_path, "serve.Node.drain", signals)
    assert node.wait_for_line("node:started")
    node.process.send_signal(signal.SIGTERM)
    assert node.wait_for_line("node:stopped")
    assert node.wait_for_end() == 0
