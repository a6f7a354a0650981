"""Weighted virtual time of partners and of the accounts within them.

Start-time fair queueing in two levels. Each node has a virtual time: the
cost charged to it, divided by its weight. The backlogged node with the
lowest virtual time goes next. A node that becomes backlogged starts at most
a burst before the clock of its level, so idle time earns a bounded credit.
"""

import dataclasses
import typing

from foxtailpick.core import types


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The agreed share of an account in the configuration in force.

    :param partner: the partner that the account belongs to.
    :param partner_weight: the partner's weight among partners, above zero.
    :param account_weight: the account's weight within it, above zero.
    """

    partner: types.PartnerId
    partner_weight: float = 1.0
    account_weight: float = 1.0

    def __post_init__(self) -> None:
        """Check the weights."""
        if min(self.partner_weight, self.account_weight) <= 0:
            raise ValueError(
                f'expected weights above zero, got {self}; take an account '
                f'out of service instead of giving it no share'
            )


ShareLookup = typing.Callable[[types.AccountId], Share]


@dataclasses.dataclass(slots=True)
class _Account:
    weight: float
    vtime: float
    is_backlogged: bool = False


@dataclasses.dataclass(slots=True)
class _Partner:
    weight: float
    vtime: float
    clock: float = 0.0
    accounts: dict[types.AccountId, _Account] = dataclasses.field(
        default_factory=dict
    )

    def is_backlogged(self) -> bool:
        return any(node.is_backlogged for node in self.accounts.values())


class ShareTree:
    """Virtual times of the partners and accounts that have work.

    :param share_of: gives the share of an account.
    :param burst_tokens: unused part that an account and a partner may
        save up while others use the endpoint.
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
        """Return the accounts that the tree keeps track of."""
        return self._shares.keys()

    def get_share(self, account: types.AccountId) -> Share:
        """Return the share in force of an account that is kept track of."""
        return self._shares[account]

    def set_multipliers(
        self, multipliers: typing.Mapping[types.AccountId, float]
    ) -> None:
        """Set what the cost of heavy accounts is multiplied by.

        :param multipliers: factor by account; one where none is given.
        """
        self._multipliers = multipliers

    def set_backlogged(
        self, account: types.AccountId, is_backlogged: bool
    ) -> None:
        """Record that an account has queued work, or has none left.

        :param account: the account concerned.
        :param is_backlogged: whether it has queued work.
        """
        partner, node = self._find_or_add(account)
        if is_backlogged and not partner.is_backlogged():
            partner.vtime = max(
                partner.vtime, self._find_start(self._clock, partner.weight)
            )
        if is_backlogged and not node.is_backlogged:
            node.vtime = max(
                node.vtime, self._find_start(partner.clock, node.weight)
            )
        node.is_backlogged = is_backlogged

    def charge(self, account: types.AccountId, tokens: float) -> None:
        """Add cost to an account and its partner.

        :param account: the account concerned.
        :param tokens: the cost; below zero to give some back.
        """
        partner, node = self._find_or_add(account)
        cost = tokens * self._multipliers.get(account, 1.0)
        partner.vtime += cost / partner.weight
        node.vtime += cost / node.weight

    def select(self) -> types.AccountId | None:
        """Return the backlogged account that goes next, None without one."""
        backlogged = [
            partner
            for partner in self._partners.values()
            if partner.is_backlogged()
        ]
        if not backlogged:
            return None
        partner = min(backlogged, key=_get_vtime)
        self._clock = max(self._clock, partner.vtime)
        account, node = min(
            (
                item
                for item in partner.accounts.items()
                if item[1].is_backlogged
            ),
            key=lambda item: item[1].vtime,
        )
        partner.clock = max(partner.clock, node.vtime)
        return account

    def compute_lead(
        self, account: types.AccountId, other: types.AccountId
    ) -> float:
        """Return how far an account is ahead of another one.

        :returns: tokens that the account, or its partner if they have
            different ones, has used above what its weight justifies.
        """
        partner, node = self._find_or_add(account)
        other_partner, other_node = self._find_or_add(other)
        if partner is other_partner:
            return (node.vtime - other_node.vtime) * node.weight
        return (partner.vtime - other_partner.vtime) * partner.weight

    def compute_fraction(
        self,
        account: types.AccountId,
        accounts: typing.Collection[types.AccountId],
    ) -> float:
        """Return the agreed part of an account when these compete.

        :param account: the account concerned.
        :param accounts: the competing accounts, it included or not.
        :returns: from above zero to one.
        """
        share = self._share_of(account)
        shares = {
            other: self._shares.get(other) or self._share_of(other)
            for other in {*accounts, account}
        }
        partner_weights = {
            other.partner: other.partner_weight for other in shares.values()
        }
        own_weights = [
            other.account_weight
            for other in shares.values()
            if other.partner == share.partner
        ]
        return (
            share.partner_weight
            / sum(partner_weights.values())
            * share.account_weight
            / sum(own_weights)
        )

    def forget(self, account: types.AccountId) -> None:
        """Drop an account without work, unless it has used above its part.

        :param account: an account with nothing queued or running.
        """
        share = self._shares.get(account)
        if share is None:
            return
        partner = self._partners[share.partner]
        node = partner.accounts[account]
        is_ahead = node.vtime > self._find_start(partner.clock, node.weight)
        if is_ahead and len(partner.accounts) > 1:
            return
        del partner.accounts[account]
        del self._shares[account]
        start = self._find_start(self._clock, partner.weight)
        if not partner.accounts and partner.vtime <= start:
            del self._partners[share.partner]

    def forget_all(self) -> None:
        """Drop everything when no account has work: nobody can be owed."""
        self._clock = 0.0
        self._partners.clear()
        self._shares.clear()

    def apply_shares(
        self,
        share_of: ShareLookup,
        outstanding: typing.Mapping[types.AccountId, float],
    ) -> bool:
        """Put new shares in force at once.

        Virtual times start over, so what was used under the old shares
        does not distort the new ones. Work that is still to be done for
        running requests is charged under the new weights.

        :param share_of: gives the new share of an account.
        :param outstanding: tokens charged but not yet done, by account.
        :returns: whether any share of an account with work has changed.
        """
        self._share_of = share_of
        old = self._shares
        if all(share_of(account) == old[account] for account in old):
            return False
        backlogged = self._list_backlogged()
        self._shares = {}
        self.forget_all()
        for account in old:
            self._find_or_add(account)
            self.charge(account, outstanding.get(account, 0.0))
        for account in backlogged:
            self._find_or_add(account)[1].is_backlogged = True
        return True

    def _list_backlogged(self) -> list[types.AccountId]:
        return [
            account
            for partner in self._partners.values()
            for account, node in partner.accounts.items()
            if node.is_backlogged
        ]

    def _find_start(self, clock: float, weight: float) -> float:
        return max(clock - self._burst_tokens / weight, 0.0)

    def _find_or_add(
        self, account: types.AccountId
    ) -> tuple[_Partner, _Account]:
        share = self._shares.get(account)
        if share is None:
            share = self._share_of(account)
            self._shares[account] = share
        partner = self._partners.get(share.partner)
        if partner is None:
            start = self._find_start(self._clock, share.partner_weight)
            partner = _Partner(share.partner_weight, start)
            self._partners[share.partner] = partner
        partner.weight = share.partner_weight
        node = partner.accounts.get(account)
        if node is None:
            start = self._find_start(partner.clock, share.account_weight)
            node = _Account(share.account_weight, start)
            partner.accounts[account] = node
        return partner, node


def _get_vtime(node: _Partner | _Account) -> float:
    return node.vtime
