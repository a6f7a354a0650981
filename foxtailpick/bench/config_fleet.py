"""Configuration trackers of many simulated nodes, in virtual time.

Peer messages, frames and store calls are function calls with a delay. The
trackers make all decisions; the simulation makes none.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import typing

from foxtailpick.core import account_table
from foxtailpick.core import config_actions
from foxtailpick.core import config_delta
from foxtailpick.core import config_exchange
from foxtailpick.core import config_store
from foxtailpick.core import configuration
from foxtailpick.core import invariants
from foxtailpick.core import patches
from foxtailpick.core import propagation
from foxtailpick.core import tracker_state
from foxtailpick.core import types

ROUTER_SHARE = 360 / 1_360
REGIONS = 5
DOMAINS = 14
CONTACT_PERIOD_MS = 50_000.0
LINKS_PER_ROUTER = 64
INTRA_REGION_MS = 1.0
CROSS_REGION_MS = 15.0
STORE_LATENCY_MS = 5.0
MAX_HOLD_MS = 1_000.0
ENVELOPE_BYTES = 70
CONNECT_BYTES = 1_000
MAX_CONFIG_LINKS = 48
HEAD_BYTES = 160


@dataclasses.dataclass(slots=True)
class StoreStandIn:
    """Simulated configuration store.

    :param offers: offer per configuration number.
    :param head: newest configuration number and its index hash.
    :param delay_ms: mean latency of a call.
    :param is_down: whether calls fail.
    :param reads: number of read calls so far.
    :param watchers: nodes with an open watch.
    """

    offers: dict[int, config_exchange.Offer]
    head: config_store.Head
    delay_ms: float = STORE_LATENCY_MS
    is_down: bool = False
    reads: int = 0
    watchers: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Node:
    """A simulated router or sidecar.

    :param name: node id.
    :param domain: failure domain.
    :param region: region.
    :param tracker: configuration tracker.
    :param wake_ms: time of the next scheduled wake-up.
    :param paused: buffered deliveries while paused, None while running.
    :param bytes_transferred: bytes sent and received.
    :param held: arrival times of work that waits for an admission decision.
    :param links: routers that hold a connection to it.
    :param config_links: peers with a connection only for configuration, in
        order of opening.
    """

    name: str
    domain: str
    region: str
    tracker: propagation.ConfigTracker
    wake_ms: float = float('inf')
    paused: list[typing.Callable[[], None]] | None = None
    bytes_transferred: int = 0
    held: list[float] = dataclasses.field(default_factory=list)
    links: frozenset[str] = frozenset()
    config_links: dict[str, None] = dataclasses.field(default_factory=dict)


class Fleet:
    """Routers and sidecars with their trackers.

    :param size: number of nodes.
    :param seed: seed of all random choices.
    :param has_traffic: whether routers send frames to sidecars.
    :param options: tracker options.
    :param choose_watchers: maps a node and the sidecars of its failure domain
        to the nodes that may hold a watch.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        has_traffic: bool = True,
        options: tracker_state.TrackerOptions = tracker_state.TrackerOptions(),
        choose_watchers: typing.Callable[
            [str, list[str]], list[str]
        ] = lambda name, sidecars: sidecars,
    ) -> None:
        self.frames = 0
        self._choose_watchers = choose_watchers
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.monitor = invariants.Monitor(is_strict=True)
        self.cfg = _make_initial_config()
        self.store = _make_store(self.cfg)
        self.reached_ms: dict[str, float] = {}
        self.admitted: list[tuple[float, str]] = []
        self.isolated_region: str | None = None
        self._options = options
        self._events: list[tuple[float, int, typing.Callable]] = []
        self._order = itertools.count()
        routers = max(int(size * ROUTER_SHARE), 1)
        self.nodes = {
            name: self._make_node(name, index)
            for index, name in enumerate(
                [f'r{i}' for i in range(routers)]
                + [f's{i}' for i in range(size - routers)]
            )
        }
        self.routers = [n for n in self.nodes.values() if n.name[0] == 'r']
        self.sidecars = [n for n in self.nodes.values() if n.name[0] == 's']
        self._set_peers()
        for node in self.nodes.values():
            self.schedule(
                self.rng.uniform(0, 500), lambda n=node: self.run_actions(n)
            )
        if has_traffic:
            self.start_traffic()

    def schedule(
        self, delay_ms: float, call: typing.Callable[[], None]
    ) -> None:
        """Schedule a function call."""
        entry = (self.now_ms + delay_ms, next(self._order), call)
        heapq.heappush(self._events, entry)

    def run(self, duration_ms: float, number: int | None = None) -> None:
        """Advance virtual time.

        :param duration_ms: maximum duration.
        :param number: if given, stop as soon as all nodes have reached the
            newest configuration number.
        """
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, call = heapq.heappop(self._events)
            call()
            if number is not None and len(self.reached_ms) == len(self.nodes):
                return
        self.now_ms = end_ms

    def accept(
        self,
        acceptor: Node,
        changes: tuple[patches.ItemChange, ...],
        urgent: typing.Iterable[str] = (),
    ) -> int:
        """Commit a patch and notify the accepting node and the watchers."""
        before = self.cfg
        self.cfg = patches.apply_changes(before, changes)
        number = self.cfg.number
        patch = patches.Patch(
            types.PatchId(f'p{number}'), before.number, 'op', 'why', (), b''
        )
        delta = config_delta.make_delta(
            patch, changes, before, self.cfg, self.now_ms
        )
        raw = delta.encode()
        self.store.offers[number] = config_exchange.Offer(number, (raw,))
        self.store.head = config_store.Head(number, delta.index_hash)
        self.reached_ms = {}
        acceptor.tracker.on_accepted(self.cfg, delta, self.now_ms, urgent)
        for name in sorted(self.store.watchers):
            self._call_store(
                lambda n=self.nodes[name], h=self.store.head: self._deliver(
                    n, lambda: n.tracker.on_watch(h, self.now_ms)
                ),
                lambda: None,
            )
        self.run_actions(acceptor)
        return number

    def pause(self, node: Node) -> None:
        """Pause a node; deliveries to it are buffered."""
        node.paused = []

    def resume(self, node: Node) -> None:
        """Resume a paused node and process its buffered deliveries."""
        waiting, node.paused = node.paused or [], None
        for call in waiting:
            call()
        self.run_actions(node)

    def restart(self, node: Node) -> None:
        """Restart a node with an empty tracker."""
        node.tracker = self._make_tracker(node.name)
        self.reached_ms.pop(node.name, None)
        self._set_peers_of(node)
        self.run_actions(node)

    def run_actions(self, node: Node) -> None:
        """Perform the actions of a node until its tracker waits."""
        if node.paused is not None:
            return
        if node.tracker.number >= self.cfg.number:
            self.reached_ms.setdefault(node.name, self.now_ms)
        self._admit_or_drop_held(node)
        while True:
            action = node.tracker.next_action(self.now_ms)
            if isinstance(action, config_actions.Wait):
                break
            self._perform_action(node, action)
        if not self.now_ms < node.wake_ms <= action.until_ms:
            node.wake_ms = action.until_ms
            delay_ms = max(action.until_ms - self.now_ms, 0.1)
            self.schedule(delay_ms, lambda: self._wake(node, action.until_ms))

    def send_work(self, router: Node, sidecar: Node) -> None:
        """Send new work as a frame with the router's configuration number."""
        number = router.tracker.number
        self.frames += 1

        def arrive() -> bool:
            is_newer = sidecar.tracker.observe_number(
                number, None, self.now_ms
            )
            sidecar.held.append(self.now_ms)
            self._admit_or_drop_held(sidecar)
            if sidecar.held:
                self.schedule(
                    MAX_HOLD_MS + 1, lambda: self.run_actions(sidecar)
                )
            self._reply_to_frame(router, sidecar)
            return is_newer or bool(sidecar.held)

        self._send(router, sidecar, 0, arrive)

    # Actions of the trackers.

    def _perform_action(
        self, node: Node, action: config_actions.Action
    ) -> None:
        requested_ms = self.now_ms
        tracker = node.tracker

        def fail() -> None:
            self._deliver(
                node, lambda: tracker.on_failure(action, self.now_ms)
            )

        if isinstance(action, config_actions.ReadHead):
            self.store.reads += 1
            node.bytes_transferred += HEAD_BYTES
            self._call_store(
                lambda head=self.store.head: self._deliver(
                    node,
                    lambda: tracker.on_head(head, requested_ms, self.now_ms),
                ),
                fail,
            )
        elif isinstance(action, config_actions.FetchFromStore):
            self.store.reads += 1
            offer = self._read_store_offer(action)
            node.bytes_transferred += HEAD_BYTES + len(offer.encode())
            self._call_store(
                lambda: self._deliver(
                    node,
                    lambda: tracker.on_offer(
                        None, offer, requested_ms, self.now_ms
                    ),
                ),
                fail,
            )
        elif isinstance(action, config_actions.FetchFromPeer):
            self._fetch_from_peer(node, action, requested_ms, fail)
        elif isinstance(action, config_actions.Announce):
            for name in action.peers:
                self._announce(node, self.nodes[name], action.offer)
        elif isinstance(action, config_actions.OpenWatch):
            self._call_store(lambda: self.store.watchers.add(node.name), fail)

    def _read_store_offer(
        self, action: config_actions.FetchFromStore
    ) -> config_exchange.Offer:
        numbers = range(action.after + 1, action.head.number + 1)
        if 0 < action.after and len(numbers) <= config_store.MAX_DELTAS_READ:
            raws = [self.store.offers[n].deltas[0] for n in numbers]
            return config_exchange.Offer(action.head.number, tuple(raws))
        index = config_delta.encode_index(self.cfg)
        return config_exchange.Offer(self.cfg.number, index=index)

    def _fetch_from_peer(
        self,
        node: Node,
        action: config_actions.FetchFromPeer,
        requested_ms: float,
        fail: typing.Callable[[], None],
    ) -> None:
        peer = self.nodes[action.peer]
        if not self._is_connected(node, peer):
            self.schedule(INTRA_REGION_MS, fail)
            return
        tracker = node.tracker

        def answer() -> None:
            offer = peer.tracker.make_offer(action.after)
            self._send(
                peer,
                node,
                len(offer.encode()),
                lambda: tracker.on_offer(
                    peer.name, offer, requested_ms, self.now_ms
                ),
            )

        self._send(node, peer, 4, answer)

    def _announce(
        self, node: Node, peer: Node, offer: config_exchange.Offer
    ) -> None:
        if peer.paused is not None:
            # Connections to a paused process cannot be established.
            return
        size = len(offer.encode())
        self._send(
            node,
            peer,
            size,
            lambda: peer.tracker.on_offer(node.name, offer, None, self.now_ms),
        )

    # Simulated network and store.

    def _send(
        self,
        sender: Node,
        receiver: Node,
        size: int,
        arrive: typing.Callable[[], None],
    ) -> None:
        if not self._is_connected(sender, receiver):
            return
        if size:
            self._connect(sender, receiver)
            sender.bytes_transferred += size + ENVELOPE_BYTES
            receiver.bytes_transferred += size + ENVELOPE_BYTES
        delay_ms = (
            INTRA_REGION_MS
            if sender.region == receiver.region
            else CROSS_REGION_MS
        )
        self.schedule(
            delay_ms * self.rng.uniform(1, 2),
            lambda: self._deliver(receiver, arrive),
        )

    def _connect(self, node: Node, peer: Node) -> None:
        """Open a connection if there is none and count its bytes."""
        if peer.name in node.links or peer.name in node.config_links:
            return
        for first, second in ((node, peer), (peer, node)):
            first.config_links[second.name] = None
            first.bytes_transferred += CONNECT_BYTES
            if len(first.config_links) > MAX_CONFIG_LINKS:
                oldest = next(iter(first.config_links))
                del first.config_links[oldest]
                self.nodes[oldest].config_links.pop(first.name, None)

    def _deliver(self, node: Node, call: typing.Callable[[], None]) -> None:
        if node.paused is not None:
            node.paused.append(call)
            return
        if call() is not False:
            self.run_actions(node)

    def _call_store(
        self,
        succeed: typing.Callable[[], None],
        fail: typing.Callable[[], None],
    ) -> None:
        delay_ms = self.store.delay_ms * self.rng.uniform(0.5, 1.5)

        def finish() -> None:
            if self.store.is_down:
                fail()
            else:
                succeed()

        self.schedule(delay_ms, finish)

    def _is_connected(self, node: Node, peer: Node) -> bool:
        isolated = self.isolated_region
        return isolated is None or (node.region == isolated) == (
            peer.region == isolated
        )

    def _reply_to_frame(self, router: Node, sidecar: Node) -> None:
        number = sidecar.tracker.number
        self._send(
            sidecar,
            router,
            0,
            lambda: router.tracker.observe_number(
                number, sidecar.name, self.now_ms
            ),
        )

    def _admit_or_drop_held(self, node: Node) -> None:
        """Decide on work that arrived or waits for a verification.

        Work that cannot be admitted within `MAX_HOLD_MS` is dropped.
        """
        for arrived_ms in list(node.held):
            verdict = node.tracker.check_admission(self.now_ms)
            is_late = self.now_ms - arrived_ms > MAX_HOLD_MS
            if verdict is propagation.AdmissionCheck.ADMIT:
                node.held.remove(arrived_ms)
                if node.tracker.cfg.is_domain_in_service(node.domain):
                    self.admitted.append((self.now_ms, node.domain))
            elif is_late:
                node.held.remove(arrived_ms)

    def _wake(self, node: Node, planned_ms: float) -> None:
        if node.wake_ms == planned_ms:
            node.wake_ms = float('inf')
            self.run_actions(node)

    def start_traffic(self) -> None:
        """Send frames from routers to sidecars at random times.

        Each pair exchanges one per `CONTACT_PERIOD_MS` on average.
        """
        mean_ms = CONTACT_PERIOD_MS / (len(self.routers) * len(self.sidecars))

        def send() -> None:
            router = self.rng.choice(self.routers)
            sidecar = self.rng.choice(self.sidecars)
            if router.paused is None and self._is_connected(router, sidecar):
                self.send_work(router, sidecar)
            self.schedule(self.rng.expovariate(1 / mean_ms), send)

        self.schedule(0, send)

    # Construction of nodes.

    def _make_node(self, name: str, index: int) -> Node:
        domain = index % DOMAINS
        region = f'region-{domain % REGIONS}'
        return Node(name, f'domain-{domain}', region, self._make_tracker(name))

    def _make_tracker(self, name: str) -> propagation.ConfigTracker:
        rng = random.Random(self.rng.getrandbits(64))
        return propagation.ConfigTracker(
            name, rng, self.monitor, self._options
        )

    def _set_peers(self) -> None:
        self._by_domain = collections.defaultdict(list)
        for node in self.sidecars:
            self._by_domain[node.domain].append(node.name)
        for node in self.nodes.values():
            self._set_peers_of(node)

    def _set_peers_of(self, node: Node) -> None:
        peers = [n.name for n in self.sidecars if n is not node]
        listeners = []
        if node in self.sidecars:
            links = (
                len(self.routers) * LINKS_PER_ROUTER // len(self.sidecars) + 1
            )
            sampled = self.rng.sample(
                self.routers, min(links, len(self.routers))
            )
            listeners = [router.name for router in sampled]
            node.links = frozenset(listeners)
        domain_nodes = self._choose_watchers(
            node.name, self._by_domain[node.domain]
        )
        node.tracker.set_peers(peers, domain_nodes, listeners)


def _make_initial_config() -> configuration.Configuration:
    text = ''.join(
        f'[domain domain-{i}]\nregion = region-{i % REGIONS}\n'
        for i in range(DOMAINS)
    )
    cfg = configuration.Configuration.from_ini(
        f'{text}[partner a]\nshare = 1\n'
    )
    table = account_table.AccountTable.from_mapping(cfg.accounts)
    return dataclasses.replace(cfg, accounts=table)


def _make_store(cfg: configuration.Configuration) -> StoreStandIn:
    index = config_delta.encode_index(cfg)
    digest = account_table.hash_content(index)
    offer = config_exchange.Offer(cfg.number, index=index)
    return StoreStandIn(
        {cfg.number: offer}, config_store.Head(cfg.number, digest)
    )


def make_domain_change(
    domain: str, state: types.DomainState
) -> tuple[patches.ItemChange, ...]:
    """Return the change that sets the state of a failure domain.

    :param domain: name of the failure domain.
    :param state: new state.
    """
    number = int(domain.rpartition('-')[2])
    item = configuration.DomainConfig(
        domain, f'region-{number % REGIONS}', state
    )
    return (patches.ItemChange('domain', domain, item),)
