"""Guards against calls that wait for a peer which has just shown that it can't serve them."""

from ..jobs.record import NodeRecord
from .relaychoice import BACKOFF_S, MAX_BACKOFF_S, MAX_RELAYS, RelayChoice

PEERS = [NodeRecord(f"n{number}", "a", "127.0.0.1", 1, "i") for number in range(5)]


def test_a_node_is_never_its_own_peer_and_few_are_tried():
    chosen = RelayChoice("n0").choose(PEERS, "/c/1", 0.0)
    assert len(chosen) == MAX_RELAYS
    assert "n0" not in {peer.node for peer in chosen}


def test_calls_are_spread_over_the_peers():
    choice = RelayChoice("n0")
    first = {choice.choose(PEERS, f"/c/{number}", 0.0)[0].node for number in range(40)}
    assert first == {"n1", "n2", "n3", "n4"}


def test_peer_that_failed_is_left_alone_for_a_while():
    choice = RelayChoice("n0")
    first, *_ = choice.choose(PEERS, "/c/1", 0.0)
    choice.note_failure(first, 0.0)
    assert first not in choice.choose(PEERS, "/c/1", BACKOFF_S / 2)
    assert choice.choose(PEERS, "/c/1", BACKOFF_S)[0] == first


def test_peer_that_fails_again_and_again_is_left_alone_longer_until_it_serves_a_call():
    choice, peers, now_s, pauses = RelayChoice("n0"), PEERS[1:2], 0.0, []
    for _ in range(4):
        choice.note_failure(peers[0], now_s)
        # The failure of a call that was sent at the same time doesn't count.
        choice.note_failure(peers[0], now_s)
        began_s = now_s
        while not choice.choose(peers, "/c/1", now_s):
            now_s += 0.125
        pauses.append(now_s - began_s)
    assert pauses == [BACKOFF_S, 2 * BACKOFF_S, MAX_BACKOFF_S, MAX_BACKOFF_S]
    choice.note_success(peers[0])
    choice.note_failure(peers[0], now_s)
    assert choice.choose(peers, "/c/1", now_s + BACKOFF_S)
