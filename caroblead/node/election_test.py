"""The order in which nodes stand for election, their strength, and resignations."""

from ..jobs.ledger import RESIGNATION_NAME, LeaderResigned, Ledger, apply_record
from ..jobs.record import KeyedRecord, NodeRecord, RecordKind, Term, make_key
from .election import MAX_TAKEOVER_S, Election, find_strong, list_candidates
from .setting import NodeSettings, compute_strength


def make_nodes(**strengths):
    return {
        name: NodeRecord(name, name[0], "h", 1, f"{name}~1", strength)
        for name, strength in strengths.items()
    }


def test_strong_nodes_of_different_zones_are_first_candidates():
    nodes = make_nodes(a1=2.0, a2=2.0, a3=0.5, b1=1.9, b2=0.5, c1=0.5)
    assert find_strong(nodes) == {"a1", "a2", "b1"}
    order = list_candidates(nodes)
    assert {name[0] for name in order[:2]} == {"a", "b"}
    assert set(order[:3]) == {"a1", "a2", "b1"}
    assert sorted(order) == sorted(nodes)


def test_equal_nodes_are_all_strong():
    nodes = make_nodes(a1=1.0, b1=1.0)
    assert find_strong(nodes) == {"a1", "b1"}


def test_slow_link_makes_a_node_weak():
    fields = {
        "node": "n",
        "zone": "a",
        "host": "h",
        "callers": "1:1",
        "readiness": "1:1",
        "peer_port": 0,
        "store": "1:1",
    }
    fast = NodeSettings(**fields, core_share=0.7, core_speed=3.0, link_mbps=1000)
    slow = NodeSettings(**fields, core_share=0.7, core_speed=3.0, link_mbps=5)
    assert round(compute_strength(fast), 2) == 2.1
    assert compute_strength(slow) == 0.5


def test_resignation_names_its_successor_and_is_valid_in_its_own_term_only():
    ledger = Ledger(term=Term(4, "n1", "n1~1"))
    key = make_key(RecordKind.HEARTBEAT, RESIGNATION_NAME)
    assert apply_record(ledger, KeyedRecord(key, b"4 n2")) == LeaderResigned("n2")
    assert apply_record(ledger, KeyedRecord(key, b"4")) == LeaderResigned("")
    assert apply_record(ledger, KeyedRecord(key, b"3 n2")) is None


def test_new_leader_with_many_open_jobs_has_longer_for_its_first_heartbeat():
    # Guards against leaders on slow machines that replace each other while they decode the jobs.
    election = Election("n1", None, None, seed=1)
    election.handle_term(Term(1, "n2", "n2~1"))
    plain_s = election.get_election_timeout_s()
    election.count_open_jobs = lambda: 300
    assert round(election.get_election_timeout_s() - plain_s, 6) == 0.6
    election.count_open_jobs = lambda: 10_000
    assert election.get_election_timeout_s() <= plain_s + MAX_TAKEOVER_S
    election.handle_heartbeat()
    assert election.get_election_timeout_s() <= plain_s
