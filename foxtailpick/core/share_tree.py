"""Start-time fair queueing in two levels: partners and their accounts.

Each node has a virtual time: the cost charged to it, divided by its weight.
The backlogged node with the lowest virtual time is served next. A node that
becomes backlogged starts at most one burst before the virtual clock of its
level, so idle time earns a bounded credit.
"""

import dataclasses
import typing

from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The agreed share of an account in the current configuration.

    :param partner: the partner that the account belongs to.
    :param partner_weight: weight of the partner, above zero.
    :param account_weight: weight of the account within its partner, above
        zero.
    """

    partner: types.PartnerId
    partner_weight: float = 1.0
    account_weight: float = 1.0

    def __post_init__(self) -> None:
        """Validate the weights."""
        if min(self.partner_weight, self.account_weight) <= 0:
            raise ValueError(
                f'expected weights above zero, got {self}; take an account '
                f'out of service instead of giving it no share'
            )


ShareLookup = typing.Callable[[types.AccountId], Share]


@dataclasses.dataclass(slots=True)
class _WeightSum:
    """Number and total weight of a partner's accounts in some state."""

    count: int = 0
    weight: float = 0.0

    def add(self, weight: float) -> None:
        self.count += 1
        self.weight += weight

    def remove(self, weight: float) -> None:
        self.count -= 1
        self.weight = self.weight - weight if self.count else 0.0


@dataclasses.dataclass(slots=True)
class _Account:
    weight: float
    virtual_time: float
    is_backlogged: bool = False
    running: int = 0

    @property
    def is_active(self) -> bool:
        return self.is_backlogged or self.running > 0


@dataclasses.dataclass(slots=True)
class _Partner:
    weight: float
    virtual_time: float
    clock: float = 0.0
    accounts: dict[types.AccountId, _Account] = dataclasses.field(
        default_factory=dict
    )
    backlogged: _WeightSum = dataclasses.field(default_factory=_WeightSum)
    active: _WeightSum = dataclasses.field(default_factory=_WeightSum)

    def set_state(
        self, node: _Account, is_backlogged: bool, running: int
    ) -> None:
        self._remove_from_sums(node)
        node.is_backlogged = is_backlogged
        node.running = running
        if node.is_backlogged:
            self.backlogged.add(node.weight)
        if node.is_active:
            self.active.add(node.weight)

    def _remove_from_sums(self, node: _Account) -> None:
        if node.is_backlogged:
            self.backlogged.remove(node.weight)
        if node.is_active:
            self.active.remove(node.weight)


class ShareTree:
    """Virtual times of the active partners and accounts.

    :param share_of: returns the share of an account.
    :param burst_tokens: maximum credit of an account or a partner for the
        share that it left to others.
    """

    def __init__(
        self, share_of: ShareLookup, burst_tokens: float = 0.0
    ) -> None:
        self._share_of = share_of
        self._burst_tokens = burst_tokens
        self._clock = 0.0
        self._partners: dict[types.PartnerId, _Partner] = {}
        self._shares: dict[types.AccountId, Share] = {}
        self._multipliers: typing.Mapping[types.AccountId, float] = {}

    @property
    def accounts(self) -> typing.Collection[types.AccountId]:
        """Return the tracked accounts."""
        return self._shares.keys()

    def set_multipliers(
        self, multipliers: typing.Mapping[types.AccountId, float]
    ) -> None:
        """Set the cost multipliers of heavy accounts.

        :param multipliers: factor by account, one by default.
        """
        self._multipliers = multipliers

    def set_backlogged(
        self, account: types.AccountId, is_backlogged: bool
    ) -> None:
        """Record whether an account has queued work.

        :param account: the account.
        :param is_backlogged: whether it has queued work.
        """
        partner, node = self._find_or_add(account)
        if node.is_backlogged == is_backlogged:
            return
        if is_backlogged and not partner.backlogged.count:
            start = self._compute_start_time(self._clock, partner.weight)
            partner.virtual_time = max(partner.virtual_time, start)
        if is_backlogged:
            start = self._compute_start_time(partner.clock, node.weight)
            node.virtual_time = max(node.virtual_time, start)
        partner.set_state(node, is_backlogged, node.running)

    def add_running(self, account: types.AccountId, change: int) -> None:
        """Change the number of running requests of an account.

        :param account: the account.
        :param change: requests started, negative for requests that ended.
        """
        partner, node = self._find_or_add(account)
        running = node.running + change
        partner.set_state(node, node.is_backlogged, running)

    def count_running(self, account: types.AccountId) -> int:
        """Return the number of running requests of an account."""
        share = self._shares.get(account)
        if share is None:
            return 0
        return self._partners[share.partner].accounts[account].running

    def charge(self, account: types.AccountId, tokens: float) -> None:
        """Charge cost to an account and its partner.

        :param account: the account.
        :param tokens: the cost; negative for a refund.
        """
        partner, node = self._find_or_add(account)
        cost = tokens * self._multipliers.get(account, 1.0)
        partner.virtual_time += cost / partner.weight
        node.virtual_time += cost / node.weight

    def select_next(self) -> types.AccountId | None:
        """Return the account to serve next, None if none is backlogged."""
        backlogged = [
            partner
            for partner in self._partners.values()
            if partner.backlogged.count
        ]
        if not backlogged:
            return None
        partner = min(backlogged, key=_get_virtual_time)
        self._clock = max(self._clock, partner.virtual_time)
        account, node = min(
            (
                item
                for item in partner.accounts.items()
                if item[1].is_backlogged
            ),
            key=lambda item: item[1].virtual_time,
        )
        partner.clock = max(partner.clock, node.virtual_time)
        return account

    def compute_lead(
        self, account: types.AccountId, other: types.AccountId
    ) -> float:
        """Return the lead of an account over another one.

        :returns: tokens that the account has used in excess of its weight;
            if the two have different partners, those of its partner.
        """
        partner, node = self._find_or_add(account)
        other_partner, other_node = self._find_or_add(other)
        if partner is other_partner:
            return (node.virtual_time - other_node.virtual_time) * node.weight
        return (
            partner.virtual_time - other_partner.virtual_time
        ) * partner.weight

    def compute_lead_over_clock(self, account: types.AccountId) -> float:
        """Return the lead of an account over the clock of its level.

        Other accounts are served first until the clock has caught up.

        :returns: tokens of this account, not negative.
        """
        share = self._shares.get(account)
        if share is None:
            return 0.0
        partner = self._partners[share.partner]
        node = partner.accounts[account]
        return max((node.virtual_time - partner.clock) * node.weight, 0.0)

    def compute_backlogged_fraction(self, account: types.AccountId) -> float:
        """Return the fraction due to an account among the backlogged ones.

        :param account: any account; counted as backlogged.
        :returns: a fraction above zero, at most one.
        """
        share = self._shares.get(account) or self._share_of(account)
        partner = self._partners.get(share.partner)
        node = partner and partner.accounts.get(account)
        account_weights = share.account_weight
        if partner and partner.backlogged.count:
            is_counted = node and node.is_backlogged
            account_weights = partner.backlogged.weight + (
                0 if is_counted else account_weights
            )
        partner_weights = sum(
            other.weight
            for other in self._partners.values()
            if other.backlogged.count
        )
        if not partner or not partner.backlogged.count:
            partner_weights += share.partner_weight
        return _compute_fraction(share, partner_weights, account_weights)

    def compute_active_fraction(self, account: types.AccountId) -> float:
        """Return the fraction due to an account among the active ones.

        :param account: an account with queued or running work.
        :returns: a fraction above zero, at most one.
        """
        share = self._shares[account]
        partner_weights = sum(
            other.weight
            for other in self._partners.values()
            if other.active.count
        )
        account_weights = self._partners[share.partner].active.weight
        return _compute_fraction(share, partner_weights, account_weights)

    def remove_if_idle(self, account: types.AccountId) -> None:
        """Remove an idle account, unless it has used more than its share.

        :param account: any account.
        """
        share = self._shares.get(account)
        if share is None:
            return
        partner = self._partners[share.partner]
        node = partner.accounts[account]
        if node.is_active:
            return
        is_ahead = node.virtual_time > self._compute_start_time(
            partner.clock, node.weight
        )
        if is_ahead and len(partner.accounts) > 1:
            return
        del partner.accounts[account]
        del self._shares[account]
        start = self._compute_start_time(self._clock, partner.weight)
        if not partner.accounts and partner.virtual_time <= start:
            del self._partners[share.partner]

    def clear(self) -> None:
        """Remove all accounts and reset the clock.

        When no account is active, none is owed anything.
        """
        self._clock = 0.0
        self._partners.clear()
        self._shares.clear()

    def apply_shares(
        self,
        share_of: ShareLookup,
        outstanding: typing.Mapping[types.AccountId, float],
    ) -> bool:
        """Apply new shares immediately.

        Virtual times are reset, so that usage under the old shares does
        not distort the new ones. Outstanding work of running requests is
        charged under the new weights.

        :param share_of: returns the new share of an account.
        :param outstanding: tokens charged but not yet processed, by account.
        :returns: whether the share of any tracked account changed.
        """
        self._share_of = share_of
        if all(share_of(name) == old for name, old in self._shares.items()):
            return False
        nodes = {
            account: self._find_or_add(account)[1] for account in self._shares
        }
        self.clear()
        for account, old in nodes.items():
            if not old.is_active:
                continue
            partner, node = self._find_or_add(account)
            partner.set_state(node, old.is_backlogged, old.running)
            self.charge(account, outstanding.get(account, 0.0))
        return True

    def _compute_start_time(self, clock: float, weight: float) -> float:
        return max(clock - self._burst_tokens / weight, 0.0)

    def _find_or_add(
        self, account: types.AccountId
    ) -> tuple[_Partner, _Account]:
        share = self._shares.get(account)
        if share is None:
            return self._add(account, self._share_of(account))
        partner = self._partners[share.partner]
        return partner, partner.accounts[account]

    def _add(
        self, account: types.AccountId, share: Share
    ) -> tuple[_Partner, _Account]:
        self._shares[account] = share
        partner = self._partners.get(share.partner)
        if partner is None:
            start = self._compute_start_time(self._clock, share.partner_weight)
            partner = _Partner(share.partner_weight, start)
            self._partners[share.partner] = partner
        partner.weight = share.partner_weight
        start = self._compute_start_time(partner.clock, share.account_weight)
        node = _Account(share.account_weight, start)
        partner.accounts[account] = node
        return partner, node


def _get_virtual_time(node: _Partner | _Account) -> float:
    return node.virtual_time


def _compute_fraction(
    share: Share, partner_weights: float, account_weights: float
) -> float:
    return (
        share.partner_weight
        / partner_weights
        * share.account_weight
        / account_weights
    )
