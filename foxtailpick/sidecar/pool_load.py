"""Load of an endpoint, bounded against the mean of its pool."""

import random
import typing

from loguru import logger

from foxtailpick.adapters import base
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import load_bound
from foxtailpick.core import load_gossip
from foxtailpick.core import settings
from foxtailpick.core import types
from foxtailpick.sidecar import work as work_lib

# A plain call counts as one token, so a few calls are not a skewed load.
FLOOR_CALLS = 8.0
COST_SMOOTHING = 0.05
INITIAL_TYPICAL_COST_TOKENS = 512.0
REFUSAL_RETRY_AFTER_MS = 250.0


class LoadRefusedError(errors.RefusedError):
    """The attempt would take the endpoint above its load bound.

    :param admission: the decision and the loads it was based on.
    """

    def __init__(self, endpoint: str, admission: load_bound.Admission) -> None:
        super().__init__(
            errors.ErrorCode.LOAD_BOUND_EXCEEDED,
            f'expected {endpoint} within {admission.limit_tokens:.0f} '
            f'tokens, its load is {admission.load_tokens:.0f}; try the '
            f'hinted endpoints',
            retry_after_ms=REFUSAL_RETRY_AFTER_MS,
        )
        self.admission = admission


class PoolLoad:
    """Bounds the load of one endpoint against the mean of its pool.

    :param cfg: settings of the sidecar.
    :param monitor: checks the load bound.
    :param rng: random source for sampling peers.

    `on_fall` is called when the load falls well below what was reported.
    """

    def __init__(
        self,
        cfg: settings.SidecarSettings,
        monitor: invariants.Monitor,
        rng: random.Random,
    ) -> None:
        self._endpoint = types.EndpointId(cfg.node.id)
        self._region = cfg.node.region
        self._service = cfg.endpoint.service
        self._rng = rng
        bound_cfg = _make_bound_settings(cfg)
        self._bound = load_bound.LoadBound(
            self._endpoint,
            cfg.endpoint.capacity,
            monitor,
            bound_cfg,
            rng,
        )
        self._models = frozenset(cfg.endpoint.models)
        # All endpoints of a service serve the same models, so they form
        # one pool.
        self._mean = self._bound.set_pool(None, cfg.endpoint.capacity)
        self._capacity = cfg.endpoint.capacity
        self._floor_tokens = bound_cfg.floor_tokens
        self._typical_cost = INITIAL_TYPICAL_COST_TOKENS
        if cfg.endpoint.kind is types.EndpointKind.PLAIN:
            self._typical_cost = 1.0
        self.on_fall: typing.Callable[[], None] = lambda: None
        self._peers: dict[types.EndpointId, base.Member] = {}
        self._peers_by_hash: dict[int, tuple[types.EndpointId, float]] = {}

    @property
    def load(self) -> float:
        """Outstanding tokens per unit of capacity."""
        return self._bound.load_tokens

    @property
    def mean(self) -> float:
        """Mean load of the pool, as estimated here."""
        return self._mean.get_mean_tokens(self.load)

    def update_members(self, members: list[base.Member]) -> None:
        """Update the pool from a member list.

        :param members: the members.
        """
        pool = [
            member
            for member in members
            if member.service == self._service
            and member.region == self._region
            and not member.is_leaving
        ]
        capacity = sum(member.capacity for member in pool)
        self._bound.set_pool(None, capacity)
        self._peers = {
            member.endpoint: member
            for member in pool
            if member.endpoint != self._endpoint
        }
        self._peers_by_hash = {
            load_gossip.hash_endpoint(endpoint): (endpoint, member.capacity)
            for endpoint, member in self._peers.items()
        }

    def admit(self, work: work_lib.Work, now_ms: float) -> None:
        """Add the cost of an attempt if the load stays within the bound.

        :param work: the message that opened the attempt.
        :param now_ms: current time.
        :raises LoadRefusedError: if it does not.
        :raises errors.RefusedError: if the model is not served here.
        """
        if work.mean_load is not None:
            self._mean.observe_router_view(work.mean_load, now_ms)
        model = getattr(work, 'model', None)
        if model is not None and model not in self._models:
            raise errors.RefusedError(
                errors.ErrorCode.MODEL_UNKNOWN,
                f'expected a model of {self._endpoint}, got {model}; try '
                f'another endpoint',
            )
        admission = self._bound.admit(
            work.attempt,
            None,
            work_lib.get_cost(work),
            now_ms,
            work.candidates,
        )
        if not admission.is_admitted:
            raise LoadRefusedError(self._endpoint, admission)
        self._update_typical_cost(work_lib.get_cost(work))

    def release(self, attempt: types.AttemptId) -> None:
        """Subtract the cost of an attempt; an unknown one is ignored."""
        self._bound.release(attempt)
        if self._bound.has_fallen:
            self.on_fall()

    def can_carry_mean(self, limit: float) -> bool:
        """Return whether the endpoint can carry the mean load of the pool.

        During slow start an endpoint carries little load. If it counted in
        the mean, the others would refuse work and redirect it here.

        :param limit: limit on concurrent requests.
        """
        mean_tokens = self.mean
        if mean_tokens <= self._floor_tokens:
            return True
        return limit * self._typical_cost / self._capacity >= mean_tokens

    def _update_typical_cost(self, cost_tokens: float) -> None:
        change = cost_tokens - self._typical_cost
        self._typical_cost += COST_SMOOTHING * change

    def prepare_report(
        self, is_counted: bool, now_ms: float
    ) -> tuple[bytes, list[str]]:
        """Return a datagram with a load report and its destinations.

        :param is_counted: whether the endpoint counts in the mean.
        :param now_ms: current time.
        """
        if not is_counted:
            # An endpoint that cannot carry its part must not lower the mean.
            return b'', []
        report = self._bound.make_report(None, now_ms)
        sampled = load_gossip.sample_peers(list(self._peers), self._rng)
        addresses = [self._peers[peer].address for peer in sampled]
        return load_gossip.encode_report(report), addresses

    def process_datagram(self, data: bytes, now_ms: float) -> None:
        """Process a datagram from a peer; a malformed one is dropped.

        :param data: the datagram.
        :param now_ms: current time.
        """
        try:
            report = load_gossip.decode_report(
                data, self._peers_by_hash, now_ms
            )
        except errors.LinkError as exc:
            logger.warning('LOAD datagram dropped. {}', exc)
            return
        if report is not None:
            self._mean.observe(report, now_ms)


def _make_bound_settings(
    cfg: settings.SidecarSettings,
) -> load_bound.LoadBoundSettings:
    multiple = cfg.limits.load_multiple
    if cfg.endpoint.kind is types.EndpointKind.PLAIN:
        return load_bound.LoadBoundSettings(multiple, floor_tokens=FLOOR_CALLS)
    return load_bound.LoadBoundSettings(multiple)
