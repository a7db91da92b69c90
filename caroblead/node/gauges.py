"""Collects the metrics of a node: what it has counted, what it knows, and what it leads."""

from collections import Counter

from ..core.metric import write_multi_labelled_gauge
from .metric import write_node_metrics
from .program import Node


def write_metrics(node: Node) -> str:
    """Returns the metrics of a node as text."""
    text = write_node_metrics(node.metrics, collect_gauges(node), collect_team_gauges(node))
    if node.load_control is not None:
        text += "\n".join(node.load_control.write_metrics()) + "\n"
    if node.leader is not None:
        waits = node.leader.state.wait_table.count()
        text += "".join(f"{line}\n" for line in _write_waits(waits))
    return text


def _write_waits(waits: Counter[tuple[str, str]]) -> list[str]:
    return write_multi_labelled_gauge("steps_waiting", ("reason", "team"), dict(waits))


def collect_gauges(node: Node) -> dict[str, float]:
    """Returns the gauges of a node by their names without the prefix of the product."""
    leader = node.leader
    gauges = {
        "leading": float(leader is not None),
        "term": float(node.ledger.term.number if node.ledger.term else 0),
        "jobs_open": float(len(node.ledger.jobs)),
        "jobs_ended": float(len(node.ledger.ended)),
        "configuration_version": float(node.configuration_view.version),
        "configuration_age_seconds": node.configuration_tail.get_age_s(),
        "ledger_age_seconds": node.ledger_tail.get_age_s(),
        "appends_total": float(node.appender.appends),
        "leader_appends_total": float(
            node.leader_appends + (leader.commit.appends if leader else 0)
        ),
        "advice_calls_total": float(node.advice_queue.calls),
        "vms_listed": float(len(node.registry.vms)),
    }
    if node.settings.evacuation_ms > 0:
        gauges["zones_evacuated"] = float(len(node.evacuation_view.zones))
    if leader is not None:
        gauges["looks_total"] = float(sum(watch.polls for watch in leader.vm_watches.values()))
        gauges["open_orders_limit"] = leader.order_sender.window.size
        gauges["vms_reserved"] = float(len(leader.fleet.reservations))
        gauges["reservations_lapsed_total"] = float(leader.fleet.lapsed_holds)
        gauges["runs_backfilled_total"] = float(leader.fleet.backfilled_runs)
        gauges["steps_keeping_quota"] = float(leader.fleet.steps_keeping_quota)
        gauges["records_refused_total"] = float(leader.commit.refused)
        gauges["failures_total"] = float(leader.state.failures.counts.total())
        gauges["jobs_unserved"] = float(len(leader.unserved_jobs))
        gauges["runs"] = float(sum(len(row.runs) for row in leader.fleet.rows.values()))
        gauges.update(leader.learning.list_gauges())
    return gauges


def collect_team_gauges(node: Node) -> dict[str, tuple[str, dict[str, float]]]:
    """Returns the gauges that the leader has for each team: the label's name and the values."""
    if node.leader is None or not node.settings.fair_share:
        return {}
    uses = node.leader.state.shares.teams
    recent = {name: use.get_effective() for name, use in uses.items()}
    return {
        "team_share": ("team", {name: use.now for name, use in uses.items()}),
        "team_share_recent": ("team", recent),
    }
