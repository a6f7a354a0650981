"""Sources of the configuration, and the actions in flight."""

import random
import typing

from foxtailpick.core import config_actions

PEER_TIMEOUT_MS = 1_000.0
STORE_TIMEOUT_MS = 3_000.0
PEER_BACKOFF_MS = 5_000.0
STORE_BACKOFF_MS = 5_000.0
BACKOFF_JITTER = 0.25
MAX_CONTACTS = 8
CONTACT_ROTATION_MS = 60_000.0


class Sources:
    """Peers and the store, with backoff after failures.

    A few random peers, the contacts, are queried first, so that their
    connections are reused; one of them is replaced periodically.

    :param rng: source of jitter and of random peers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._peers: tuple[str, ...] = ()
        self._last_resort: tuple[str, ...] = ()
        self._contacts: tuple[str, ...] = ()
        self._rotated_ms = float('-inf')
        self._backoff_until_ms: dict[str, float] = {}
        self._store_backoff_until_ms = float('-inf')

    @property
    def fleet_size(self) -> int:
        """Number of known nodes of the fleet, including this one."""
        return len(self._peers) + 1

    def set_peers(
        self,
        peers: typing.Iterable[str],
        last_resort: typing.Iterable[str] = (),
    ) -> None:
        """Replace the peers.

        :param peers: the peers.
        :param last_resort: nodes queried only when no peer is available.
        """
        self._peers = tuple(peers)
        self._last_resort = tuple(last_resort)
        known = {*self._peers, *self._last_resort}
        self._backoff_until_ms = {
            peer: until
            for peer, until in self._backoff_until_ms.items()
            if peer in known
        }
        kept = tuple(peer for peer in self._contacts if peer in known)
        self._contacts = self._fill_contacts(kept)

    @property
    def contacts(self) -> tuple[str, ...]:
        """Peers to which connections should be kept open."""
        return self._contacts

    def is_store_usable(self, now_ms: float) -> bool:
        """Tell whether the store may be queried."""
        return now_ms >= self._store_backoff_until_ms

    def on_store_success(self) -> None:
        """Record a timely response of the store."""
        self._store_backoff_until_ms = float('-inf')

    def on_store_failure(self, now_ms: float) -> None:
        """Back off from the store.

        Jitter keeps the fleet from returning to the store all at once.
        """
        backoff_ms = STORE_BACKOFF_MS * self._sample_jitter()
        self._store_backoff_until_ms = now_ms + backoff_ms

    def on_peer_success(self, peer: str) -> None:
        """Record a response of a peer."""
        self._backoff_until_ms.pop(peer, None)

    def on_peer_failure(self, peer: str, now_ms: float) -> None:
        """Back off from a peer, and replace it if it is a contact."""
        if peer not in self._peers and peer not in self._last_resort:
            return
        if peer in self._contacts:
            kept = tuple(item for item in self._contacts if item != peer)
            self._contacts = self._fill_contacts(kept, peer)
        self._backoff_until_ms[peer] = (
            now_ms + PEER_BACKOFF_MS * self._sample_jitter()
        )

    def count_available_peers(self, now_ms: float) -> int:
        """Return the number of available peers.

        If there are none, available nodes of the last resort count.
        """
        self._drop_expired_backoffs(now_ms)
        if len(self._backoff_until_ms) < len(self._peers):
            backed_off = self._backoff_until_ms.keys() - set(self._last_resort)
            return len(self._peers) - len(backed_off)
        available = self._filter_available(self._peers)
        return len(available or self._filter_available(self._last_resort))

    def pick_peers(
        self, count: int, now_ms: float, excluded: typing.Collection[str] = ()
    ) -> list[str]:
        """Return random available peers, contacts first.

        :param count: maximum number of peers.
        :param now_ms: the current time.
        :param excluded: peers to exclude.
        """
        self._drop_expired_backoffs(now_ms)
        self._rotate_contacts(now_ms)
        wanted = count + len(excluded) + len(self._backoff_until_ms)
        contacts = self.sample(self._contacts, len(self._contacts))
        sampled = dict.fromkeys(contacts + self.sample(self._peers, wanted))
        available = self._filter_available(sampled)
        if not available and not self._filter_available(self._peers):
            shuffled = self.sample(self._last_resort, len(self._last_resort))
            available = self._filter_available(shuffled)
        return [peer for peer in available if peer not in excluded][:count]

    def _filter_available(self, names: typing.Iterable[str]) -> list[str]:
        return [name for name in names if name not in self._backoff_until_ms]

    def sample(self, names: tuple[str, ...], count: int) -> list[str]:
        """Return up to `count` random names."""
        return self._rng.sample(names, min(count, len(names)))

    def _rotate_contacts(self, now_ms: float) -> None:
        """Replace the oldest contact, so that none is used indefinitely."""
        if now_ms - self._rotated_ms < CONTACT_ROTATION_MS:
            return
        self._rotated_ms = now_ms
        self._contacts = self._fill_contacts(self._contacts[1:])

    def _fill_contacts(
        self, kept: tuple[str, ...], excluded: str | None = None
    ) -> tuple[str, ...]:
        skipped = {*kept, excluded}
        sampled = self.sample(self._peers, MAX_CONTACTS + len(skipped))
        new = [peer for peer in sampled if peer not in skipped]
        return (*kept, *new)[:MAX_CONTACTS]

    def _drop_expired_backoffs(self, now_ms: float) -> None:
        expired = [
            p for p, until in self._backoff_until_ms.items() if until <= now_ms
        ]
        for peer in expired:
            del self._backoff_until_ms[peer]

    def _sample_jitter(self) -> float:
        return 1 + self._rng.uniform(-BACKOFF_JITTER, BACKOFF_JITTER)


class ActionsInFlight:
    """Actions in flight, with the time at which each started."""

    def __init__(self) -> None:
        self._started: dict[config_actions.Action, float] = {}

    def add(self, action: config_actions.Action, now_ms: float) -> None:
        """Record the start of an action."""
        self._started[action] = now_ms

    def end(self, action: config_actions.Action) -> None:
        """Remove an action after its response or failure."""
        self._started.pop(action, None)

    def find(
        self, kind: type | tuple[type, ...]
    ) -> list[config_actions.Action]:
        """Return the actions of a kind that are in flight."""
        return [item for item in self._started if isinstance(item, kind)]

    def end_peer(self, peer: str) -> None:
        """Record a response of a peer, whichever request it answers."""
        for action in self.find(config_actions.FetchFromPeer):
            if action.peer == peer:
                del self._started[action]

    def end_kind(self, kind: type | tuple[type, ...]) -> None:
        """Record a response to all actions of a kind."""
        for action in self.find(kind):
            del self._started[action]

    def pop_timed_out(self, now_ms: float) -> list[config_actions.Action]:
        """Remove and return the actions that have timed out."""
        timed_out = [
            action
            for action, started_ms in self._started.items()
            if now_ms - started_ms >= _find_timeout_ms(action)
        ]
        for action in timed_out:
            del self._started[action]
        return timed_out

    def next_timeout_ms(self) -> float:
        """Return when the next action times out."""
        return min(
            (
                started_ms + _find_timeout_ms(action)
                for action, started_ms in self._started.items()
            ),
            default=float('inf'),
        )


def is_store_action(action: config_actions.Action) -> bool:
    """Tell whether an action queries the store."""
    if isinstance(action, config_actions.FetchChunk):
        return action.peer is None
    return isinstance(action, _STORE_ACTIONS)


def _find_timeout_ms(action: config_actions.Action) -> float:
    return STORE_TIMEOUT_MS if is_store_action(action) else PEER_TIMEOUT_MS


_STORE_ACTIONS = (
    config_actions.FetchFromStore,
    config_actions.OpenWatch,
    config_actions.ReadHead,
)
