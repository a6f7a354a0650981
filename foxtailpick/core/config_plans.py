"""Planning of the next action of a configuration tracker.

Each `plan_` function returns one action, or None if none is due.
"""

from foxtailpick.core import config_actions
from foxtailpick.core import config_exchange
from foxtailpick.core import tracker_state
from foxtailpick.core import types


def plan_next(
    state: tracker_state.TrackerState, now_ms: float
) -> config_actions.Action:
    """Return the next action; `Wait` if none is due.

    :param state: state of the tracker.
    :param now_ms: the current time.
    """
    for plan in _PLANS:
        action = plan(state, now_ms)
        if action is not None:
            return action
    return config_actions.Wait(compute_wake_ms(state, now_ms))


def _start_action(
    state: tracker_state.TrackerState,
    action: config_actions.Action,
    now_ms: float,
) -> config_actions.Action:
    state.in_flight.add(action, now_ms)
    return action


def plan_announcement(
    state: tracker_state.TrackerState, now_ms: float
) -> config_actions.Action | None:
    """Announce a new number, or send a lagging peer what it lacks."""
    if state.lagging_peers:
        peer, number = state.lagging_peers.popitem()
        return config_actions.Announce(
            (peer,), state.node_config.make_offer(number)
        )
    peers = state.announcer.pick_peers(state.number, state.sources, now_ms)
    if not peers:
        return None
    offer = state.node_config.make_offer(types.ConfigNumber(state.number - 1))
    if offer.index is not None:
        # An index is not sent unsolicited: announce the number alone, and
        # peers request the changes they lack.
        offer = config_exchange.Offer(state.number)
    return config_actions.Announce(peers, offer)


def plan_catch_up(
    state: tracker_state.TrackerState, now_ms: float
) -> config_actions.Action | None:
    """Fetch a higher number that was seen."""
    if not state.is_behind or not state.catch_up.is_due(now_ms):
        return None
    is_store_turn = state.catch_up.start_attempt(now_ms)
    if is_store_turn or not state.catch_up.has_holder:
        action = _start_store_fetch(state, now_ms)
        if action is not None:
            return action
    peer = state.catch_up.pick_peer(state.sources, now_ms)
    if peer is not None:
        return _start_peer_fetch(state, peer, now_ms)
    return _start_store_fetch(state, now_ms)


def _start_peer_fetch(
    state: tracker_state.TrackerState, peer: str, now_ms: float
) -> config_actions.Action:
    after = state.node_config.fetch_after
    return _start_action(
        state, config_actions.FetchFromPeer(peer, after), now_ms
    )


def _start_store_fetch(
    state: tracker_state.TrackerState, now_ms: float
) -> config_actions.Action | None:
    if not state.sources.is_store_usable(now_ms):
        return None
    if state.head is None or state.head.number <= state.number:
        return _start_head_read(state, now_ms)
    if state.in_flight.find(config_actions.FetchFromStore):
        return None
    action = config_actions.FetchFromStore(
        state.head, state.node_config.fetch_after
    )
    return _start_action(state, action, now_ms)


def _start_head_read(
    state: tracker_state.TrackerState, now_ms: float
) -> config_actions.Action | None:
    if state.in_flight.find(config_actions.ReadHead):
        return None
    return _start_action(state, config_actions.ReadHead(), now_ms)


def plan_verification(
    state: tracker_state.TrackerState, now_ms: float
) -> config_actions.Action | None:
    """Confirm the number while work waits for it."""
    if not state.may_serve(now_ms):
        state.verification.start(True, now_ms)
    state.verification.end_if_done(state.confirmed_ms(now_ms))
    is_needed = state.verification.is_in_progress
    if not is_needed or state.must_catch_up(now_ms):
        return None
    if state.verification.begin_store_query(state.sources, now_ms):
        action = _start_head_read(state, now_ms)
        if action is not None:
            return action
    peer = state.verification.pick_peer(
        state.fresh, state.sources, state.in_flight, now_ms
    )
    return _start_peer_fetch(state, peer, now_ms) if peer is not None else None


def plan_watch(
    state: tracker_state.TrackerState, now_ms: float
) -> config_actions.Action | None:
    """Open or close the watch."""
    if state.wants_watch == state.is_watching:
        return None
    if not state.wants_watch:
        state.is_watching = False
        return config_actions.CloseWatch()
    if not state.sources.is_store_usable(now_ms):
        return None
    state.is_watching = True
    return config_actions.OpenWatch()


def plan_chunk(
    state: tracker_state.TrackerState, now_ms: float
) -> config_actions.Action | None:
    """Load a requested chunk of accounts."""
    if state.in_flight.find(config_actions.FetchChunk):
        return None
    action = state.chunks.plan(
        state.node_config.cfg.accounts, state.sources, now_ms
    )
    return _start_action(state, action, now_ms) if action is not None else None


def plan_poll(
    state: tracker_state.TrackerState, now_ms: float
) -> config_actions.Action | None:
    """Query the newest number when a poll is due."""
    if not state.poll.start(now_ms):
        return None
    if _is_store_polled(state, now_ms):
        action = _start_head_read(state, now_ms)
        if action is not None:
            return action
    queried = {
        action.peer
        for action in state.in_flight.find(config_actions.FetchFromPeer)
    }
    peers = state.sources.pick_peers(1, now_ms, queried)
    if not peers:
        # No peer is available: each is backed off or already queried.
        state.poll.retry_soon(now_ms)
        return None
    return _start_peer_fetch(state, peers[0], now_ms)


def _is_store_polled(state: tracker_state.TrackerState, now_ms: float) -> bool:
    if not state.sources.is_store_usable(now_ms):
        return False
    return state.poll.is_store_turn(state.sources.fleet_size)


def compute_wake_ms(state: tracker_state.TrackerState, now_ms: float) -> float:
    """Return when the next action may be due without a report."""
    times = [
        state.poll.due_ms,
        state.in_flight.next_timeout_ms(),
        state.announcer.next_ms(state.number, now_ms),
        state.verification.next_ms(now_ms),
    ]
    if state.is_behind:
        times.append(state.catch_up.next_ms())
    return min(times)


_PLANS = (
    plan_announcement,
    plan_catch_up,
    plan_verification,
    plan_watch,
    plan_chunk,
    plan_poll,
)
