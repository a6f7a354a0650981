"""Tests of the configuration tracker, alone and in a simulated fleet."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from foxtailpick.bench import config_fleet
from foxtailpick.core import catch_up
from foxtailpick.core import config_actions
from foxtailpick.core import config_announcer
from foxtailpick.core import config_exchange
from foxtailpick.core import config_plans
from foxtailpick.core import config_store
from foxtailpick.core import errors
from foxtailpick.core import freshness
from foxtailpick.core import invariants
from foxtailpick.core import node_config
from foxtailpick.core import poll_schedule
from foxtailpick.core import propagation
from foxtailpick.core import tracker_state
from foxtailpick.core import types
from foxtailpick.core import watchers

IN = types.DomainState.IN_SERVICE
OUT = types.DomainState.OUT_OF_SERVICE
ADMIT = propagation.AdmissionCheck.ADMIT
VERIFY = propagation.AdmissionCheck.VERIFY
NOT_READY = propagation.AdmissionCheck.NOT_READY
OUT_LIMIT_MS = 3_000.0
CONVERGENCE_LIMIT_MS = 13_000.0
PEERS = ['a', 'b', 'c', 'd']


def make_source(changes=1):
    """Return the tracker of a node that committed some patches."""
    fleet = config_fleet.Fleet(2, 1, has_traffic=False)
    fleet.run(5_000)
    for turn in range(changes):
        state = OUT if turn % 2 == 0 else IN
        change = config_fleet.make_domain_change('domain-3', state)
        fleet.accept(fleet.routers[0], change)
    return fleet.routers[0].tracker


def make_tracker(monitor, source=None):
    tracker = propagation.ConfigTracker('me', random.Random(1), monitor)
    tracker.set_peers(PEERS)
    if source is not None:
        tracker.on_offer('a', source.make_offer(0), None, 0.0)
    return tracker


def collect_actions(tracker, now_ms):
    """Return all actions due at a time, without the final `Wait`."""
    actions = []
    while True:
        action = tracker.next_action(now_ms)
        if isinstance(action, config_actions.Wait):
            assert action.until_ms > now_ms
            return actions
        actions.append(action)


def list_queried_peers(actions):
    kind = config_actions.FetchFromPeer
    return [item.peer for item in actions if isinstance(item, kind)]


def test_number_seen_is_fetched_from_its_sender(monitor):
    source = make_source(3)
    tracker = make_tracker(monitor)
    tracker.on_offer('a', source.make_offer(0), None, 0.0)
    collect_actions(tracker, 0.0)
    tracker.observe_number(9, 'c', 10.0)
    assert list_queried_peers(collect_actions(tracker, 10.0)) == ['c']
    assert not list_queried_peers(collect_actions(tracker, 11.0))
    later = collect_actions(tracker, 300.0)
    assert config_actions.ReadHead() in later or list_queried_peers(later)


def test_lower_offer_changes_nothing(monitor):
    old, new = make_source(1), make_source(3)
    tracker = make_tracker(monitor, new)
    tracker.on_offer('b', old.make_offer(0), 0.0, 1.0)
    assert tracker.number == new.number == 4
    assert monitor.checked[invariants.Invariant.CONFIG_UPWARDS] > 0


def test_lower_configuration_is_a_violation(monitor):
    node = node_config.NodeConfig('me', monitor)
    node.apply_offer(make_source(3).make_offer(0), 0.0)
    with pytest.raises(errors.InvariantError):
        node._install(make_source(1).cfg, 1.0)
    monitor.is_strict = False
    node._install(make_source(1).cfg, 1.0)
    assert node.number == 4


def test_offer_holds_deltas_or_index_and_round_trips(monitor):
    source = make_source(3)
    deltas = source.make_offer(2)
    assert len(deltas.deltas) == 2 and deltas.index is None
    assert source.make_offer(4) == config_exchange.Offer(4)
    for offer in (deltas, source.make_offer(0)):
        assert config_exchange.Offer.decode(offer.encode()) == offer
    with pytest.raises(errors.ConfigError):
        config_exchange.Offer.decode(b'\x01')


def test_corrupt_delta_triggers_fetch_of_the_index(monitor):
    source = make_source(2)
    tracker = make_tracker(monitor, make_source(1))
    raw = source.make_offer(2).deltas[0]
    forged = raw[:-1] + bytes([raw[-1] ^ 1])
    tracker.on_offer('b', config_exchange.Offer(3, (forged,)), None, 1.0)
    assert tracker.number == 2
    asked = [
        action
        for action in collect_actions(tracker, 100.0)
        if isinstance(action, config_actions.FetchFromPeer)
    ]
    assert asked[0].after == 0
    tracker.on_offer('b', source.make_offer(0), 100.0, 101.0)
    assert tracker.cfg == source.cfg


def test_missing_deltas_are_requested(monitor):
    source = make_source(3)
    tracker = make_tracker(monitor, make_source(1))
    last = config_exchange.Offer(4, source.make_offer(3).deltas)
    tracker.on_offer('b', last, None, 1.0)
    assert tracker.number == 2 and tracker.is_behind
    asked = collect_actions(tracker, 50.0)
    assert config_actions.FetchFromPeer('b', 2) in asked
    tracker.on_offer('b', source.make_offer(2), 50.0, 51.0)
    assert tracker.number == 4


def test_paused_node_verifies_before_it_admits(monitor):
    source = make_source()
    tracker = make_tracker(monitor, source)
    head = config_store.Head(source.number, b'')
    tracker.on_head(head, 0.0, 5.0)
    assert tracker.check_admission(10.0) is ADMIT
    # Frames and responses buffered during the pause confirm nothing.
    for peer in PEERS:
        tracker.observe_number(source.number, peer, 60_000.0)
        unasked = config_exchange.Offer(source.number)
        tracker.on_offer(peer, unasked, None, 60_000.0)
    tracker.on_head(head, 30.0, 60_000.0)
    assert tracker.check_admission(60_000.0) is VERIFY
    peers = list_queried_peers(collect_actions(tracker, 60_000.0))
    assert len(set(peers)) >= freshness.PEER_QUORUM
    for peer in peers[: freshness.PEER_QUORUM]:
        offer = config_exchange.Offer(source.number)
        tracker.on_offer(peer, offer, 60_000.0, 60_010.0)
    assert tracker.check_admission(60_010.0) is ADMIT


@pytest.mark.parametrize('is_paused', [True, False])
def test_timeouts_due_to_a_pause_cause_no_backoff(monitor, is_paused):
    tracker = make_tracker(monitor, make_source())
    tracker.set_peers(['a'], [], ['r1'])
    tracker.on_failure(config_actions.ReadHead(), 0.0)
    assert list_queried_peers(collect_actions(tracker, 1.0)) == ['a']
    now_ms = 1.0
    while not is_paused and now_ms < 1_500.0:
        now_ms += 250.0
        collect_actions(tracker, now_ms)
    asked = list_queried_peers(collect_actions(tracker, 4_000.0))
    assert asked == (['a'] if is_paused else ['r1'])


def test_verification_queries_the_store_then_peers(monitor):
    source = make_source()
    tracker = make_tracker(monitor, source)
    collect_actions(tracker, 0.0)
    tracker.on_head(config_store.Head(source.number, b''), 0.0, 5.0)
    collect_actions(tracker, 5.0)
    assert tracker.check_admission(5_000.0) is VERIFY
    actions = collect_actions(tracker, 5_000.0)
    assert actions[0] == config_actions.ReadHead()
    assert len(list_queried_peers(actions)) < freshness.PEER_QUORUM
    tracker.on_failure(actions[0], 5_010.0)
    asked = list_queried_peers(collect_actions(tracker, 5_010.0))
    assert len(set(asked)) >= freshness.PEER_QUORUM


def test_number_seen_blocks_work_for_a_limited_time(monitor):
    source = make_source()
    tracker = make_tracker(monitor, source)
    head = config_store.Head(source.number, b'')
    tracker.on_head(head, 0.0, 5.0)
    tracker.observe_number(99, 'a', 10.0)
    assert tracker.check_admission(11.0) is VERIFY
    limit_ms = tracker_state.TrackerOptions().catch_up_timeout_ms
    # Higher numbers do not restart the limit.
    tracker.observe_number(100, 'a', limit_ms / 2)
    tracker.on_head(head, 9.0 + limit_ms, 9.0 + limit_ms)
    assert tracker.check_admission(9.0 + limit_ms) is VERIFY
    assert tracker.check_admission(11.0 + limit_ms) is ADMIT


def test_node_without_store_serves_after_a_peer_quorum(monitor):
    old, new = make_source(1), make_source(2)
    tracker = make_tracker(monitor)
    assert tracker.check_admission(0.0) is NOT_READY
    tracker.on_failure(config_actions.ReadHead(), 0.0)
    for index, source in enumerate([old, new, old]):
        assert not tracker.may_serve(1.0)
        peer = PEERS[index]
        tracker.on_offer(peer, source.make_offer(0), 0.0, 1.0)
    assert tracker.number == new.number
    assert tracker.may_serve(1.0)


def test_node_without_store_and_peers_does_not_serve(monitor):
    tracker = propagation.ConfigTracker('me', random.Random(1), monitor)
    tracker.on_failure(config_actions.ReadHead(), 0.0)
    assert collect_actions(tracker, 1.0) == []
    assert not tracker.may_serve(1.0)


@pytest.mark.parametrize('peers', [[], ['a', 'b']])
def test_routers_are_queried_only_without_peers(monitor, peers):
    tracker = propagation.ConfigTracker('me', random.Random(1), monitor)
    tracker.set_peers(peers, [], ['r1', 'r2'])
    tracker.on_failure(config_actions.ReadHead(), 0.0)
    asked = list_queried_peers(collect_actions(tracker, 1.0))
    assert set(asked) == set(peers or ['r1', 'r2'])
    for peer in peers:
        tracker.on_failure(config_actions.FetchFromPeer(peer, 0), 2.0)
    offer = make_source().make_offer(0)
    list_queried_peers(collect_actions(tracker, 3.0))
    for router in ('r1', 'r2'):
        tracker.on_offer(router, offer, 3.0, 4.0)
    assert tracker.check_admission(5.0) is ADMIT


def test_poll_without_available_peer_is_retried_soon(monitor):
    state = tracker_state.TrackerState(
        'me', random.Random(1), monitor, tracker_state.TrackerOptions()
    )
    assert config_plans.plan_poll(state, 0.0) is None
    due_ms = state.poll.due_ms
    state.sources.on_store_failure(due_ms)
    assert config_plans.plan_poll(state, due_ms) is None
    assert state.poll.due_ms == due_ms + poll_schedule.RETRY_MS


def test_number_of_watchers_per_domain():
    nodes = [f'n{i}' for i in range(70)]
    chosen = [node for node in nodes if watchers.is_watcher(node, nodes)]
    assert len(chosen) == watchers.WATCHERS_PER_DOMAIN


def test_watch_is_reopened_after_it_ended(monitor):
    tracker = propagation.ConfigTracker('me', random.Random(1), monitor)
    tracker.set_peers(PEERS, ['me'])
    assert config_actions.OpenWatch() in collect_actions(tracker, 0.0)
    tracker.on_head(None, 0.0, 1.0)
    tracker.on_failure(config_actions.OpenWatch(), 1.0)
    assert config_actions.OpenWatch() in collect_actions(tracker, 9_000.0)
    tracker.set_peers(PEERS, [])
    assert config_actions.CloseWatch() in collect_actions(tracker, 9_001.0)


@pytest.mark.parametrize('size', [100, 1_360, 20_000])
def test_store_polls_of_the_fleet_are_bounded(size):
    options = poll_schedule.PollOptions()
    poll = poll_schedule.PollSchedule(random.Random(1), options)
    turns = sum(poll.is_store_turn(size) for _ in range(4_000)) / 4_000
    per_s = turns * size / options.mean_ms * types.SECOND_MS
    assert per_s <= options.store_polls_per_s * 1.15


def test_unloaded_account_is_loaded(monitor):
    source = make_source()
    tracker = make_tracker(monitor, source)
    assert tracker.request_account('nobody')
    digest = b'\x01' * 16
    table = tracker.cfg.accounts
    hashes = (digest,) * len(table.hashes)
    tracker.cfg.accounts.__init__(hashes, (None,) * len(hashes))
    assert not tracker.request_account('nobody')
    kind = config_actions.FetchChunk
    found = [a for a in collect_actions(tracker, 1.0) if isinstance(a, kind)]
    assert [(a.digest, a.peer) for a in found] == [(digest, None)]
    tracker.on_failure(found[0], 2.0)
    found = [a for a in collect_actions(tracker, 2.0) if isinstance(a, kind)]
    assert found[0].peer in PEERS


def test_number_spreads_by_polling_alone():
    options = tracker_state.TrackerOptions(
        announce=config_announcer.AnnouncerOptions(fanout=0, accept_fanout=0)
    )
    for is_down in (False, True):
        fleet = config_fleet.Fleet(45, 3, False, options)
        fleet.run(20_000)
        change = config_fleet.make_domain_change('domain-3', OUT)
        number = fleet.accept(fleet.routers[0], change)
        fleet.store.is_down = is_down
        fleet.run(60_000, number)
        assert len(fleet.reached_ms) == 45
        if not is_down:
            assert fleet.now_ms - 20_000 <= CONVERGENCE_LIMIT_MS


def check_domain_out(fleet, domain, accepted_ms):
    """Check that only other domains admitted work after the limit."""
    late_ms = accepted_ms + OUT_LIMIT_MS
    late = [where for at, where in fleet.admitted if at > late_ms]
    assert domain not in late
    assert late


@pytest.mark.parametrize('store', ['up', 'slow', 'down'])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_domain_out_gets_no_work_after_3_s(store, seed):
    fleet = config_fleet.Fleet(60, seed)
    fleet.run(20_000)
    affected = [n for n in fleet.sidecars if n.domain == 'domain-3']
    stale = fleet.routers[1:]
    for node in [*stale, affected[0]]:
        fleet.pause(node)
    fleet.store.delay_ms = 2_000.0 if store == 'slow' else 5.0
    accepted_ms = fleet.now_ms
    change = config_fleet.make_domain_change('domain-3', OUT)
    fleet.accept(fleet.routers[0], change)
    fleet.store.is_down = store == 'down'
    for turn in range(400):
        router = stale[turn % len(stale)]
        for sidecar in affected:
            fleet.send_work(router, sidecar)
        fleet.run(50)
        if turn == 200:
            fleet.resume(affected[0])
    check_domain_out(fleet, 'domain-3', accepted_ms)


def test_partitioned_region_keeps_serving_and_catches_up():
    fleet = config_fleet.Fleet(45, 5)
    fleet.run(20_000)
    fleet.isolated_region = 'region-1'
    acceptor = next(n for n in fleet.routers if n.region != 'region-1')
    fleet.store.is_down = True
    for turn in range(54):
        state = OUT if turn % 2 == 0 else IN
        change = config_fleet.make_domain_change('domain-3', state)
        number = fleet.accept(acceptor, change)
        fleet.run(2_000)
    cut = [n for n in fleet.nodes.values() if n.region == 'region-1']
    assert {n.tracker.number for n in cut} == {1}
    router = next(n for n in cut if n in fleet.routers)
    sidecars = [n for n in cut if n in fleet.sidecars]
    fleet.run(20_000)
    fleet.admitted.clear()
    for sidecar in sidecars:
        fleet.send_work(router, sidecar)
    fleet.run(2_000)
    served = {domain for _, domain in fleet.admitted}
    assert {sidecar.domain for sidecar in sidecars} <= served
    fleet.isolated_region = None
    healed_ms = fleet.now_ms
    fleet.run(60_000, number)
    assert len(fleet.reached_ms) == 45
    assert fleet.now_ms - healed_ms <= CONVERGENCE_LIMIT_MS


def test_restarted_nodes_without_store_adopt_the_highest():
    fleet = config_fleet.Fleet(45, 6)
    fleet.run(20_000)
    change = config_fleet.make_domain_change('domain-3', OUT)
    number = fleet.accept(fleet.routers[0], change)
    fleet.store.is_down = True
    fleet.run(1_000)
    for node in fleet.sidecars[:10]:
        fleet.restart(node)
    fleet.run(3_000)
    for node in fleet.sidecars[:10]:
        assert node.tracker.number == number
        assert node.tracker.may_serve(fleet.now_ms)


STEPS = strategies.lists(
    strategies.sampled_from(
        ['accept', 'pause', 'resume', 'restart', 'down', 'up', 'cut', 'heal']
    ),
    min_size=5,
    max_size=25,
)


def apply_step(fleet, step, rng):
    node = rng.choice(list(fleet.nodes.values()))
    domain = f'domain-{rng.randrange(config_fleet.DOMAINS)}'
    if step == 'accept':
        writer = next(n for n in fleet.routers if n.paused is None)
        change = config_fleet.make_domain_change(domain, rng.choice([IN, OUT]))
        fleet.accept(writer, change)
    elif step == 'pause' and node is not fleet.routers[0]:
        fleet.pause(node)
    elif step == 'restart' and node is not fleet.routers[0]:
        node.paused = None
        fleet.restart(node)
    elif step == 'resume':
        fleet.resume(node)
    elif step in ('down', 'up'):
        fleet.store.is_down = step == 'down'
        fleet.store.watchers.clear()
    elif step in ('cut', 'heal'):
        fleet.isolated_region = 'region-1' if step == 'cut' else None


@hypothesis.given(STEPS, strategies.integers(0, 2**32))
@hypothesis.settings(max_examples=25)
def test_nodes_converge_after_any_mix_of_faults(steps, seed):
    rng = random.Random(seed)
    fleet = config_fleet.Fleet(24, seed)
    fleet.run(5_000)
    seen = {}
    for step in steps:
        apply_step(fleet, step, rng)
        fleet.run(rng.choice([50, 500, 4_000]))
        for node in fleet.nodes.values():
            low = seen.get(node.tracker, 0)
            assert node.tracker.number >= low
            seen[node.tracker] = node.tracker.number
    fleet.isolated_region = None
    for node in fleet.nodes.values():
        fleet.resume(node)
    fleet.run(CONVERGENCE_LIMIT_MS)
    numbers = {n.tracker.number for n in fleet.nodes.values()}
    assert numbers == {fleet.cfg.number}
    assert all(n.tracker.cfg == fleet.cfg for n in fleet.nodes.values())


def test_catch_up_backs_off_without_progress():
    behind = catch_up.CatchUp(250.0)
    behind.observe_number(5, None, 0.0)
    gaps = []
    for _ in range(10):
        now_ms = behind.next_ms()
        behind.start_attempt(now_ms)
        gaps.append(behind.next_ms() - now_ms)
    assert gaps[0] == 250.0 and gaps[-1] == 4_000.0
