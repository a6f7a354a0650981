"""Checks the fair-share invariant over fixed windows of served tokens.

The check is independent of the virtual times used for scheduling: it counts
the tokens served and compares them with the current shares.
"""

import collections
import typing

from foxtailpick.core import invariants
from foxtailpick.core import share_tree
from foxtailpick.core import types

WINDOW_MS = 10.0 * types.SECOND_MS
MAX_SHARE_ERROR = 0.02


class ShareAudit:
    """Counts and checks the tokens served in the current window.

    Only accounts and partners that were backlogged during the whole window
    are compared; the others did not request their full share.

    :param monitor: checks the fair-share invariant.
    :param tolerance_tokens: allowed deviation besides `MAX_SHARE_ERROR`,
        because requests are indivisible and burst credit may be used.
    """

    def __init__(
        self, monitor: invariants.Monitor, tolerance_tokens: float
    ) -> None:
        self._monitor = monitor
        self._tolerance_tokens = tolerance_tokens
        self._tokens: collections.Counter[types.AccountId] = (
            collections.Counter()
        )
        self._backlogged: set[types.AccountId] = set()
        self._largest_tokens = 0.0
        self._is_window_skipped = False
        self._start_ms = 0.0

    def start_window(
        self, backlogged: typing.Iterable[types.AccountId], now_ms: float
    ) -> None:
        """Start a new window.

        :param backlogged: accounts with waiting requests.
        :param now_ms: the current time.
        """
        self._tokens.clear()
        self._backlogged = set(backlogged)
        self._largest_tokens = 0.0
        self._is_window_skipped = False
        self._start_ms = now_ms

    def record(self, account: types.AccountId, tokens: float) -> None:
        """Count tokens served."""
        self._tokens[account] += tokens
        self._largest_tokens = max(self._largest_tokens, tokens)

    def remove_backlogged(self, account: types.AccountId) -> None:
        """Record that an account has no more waiting requests."""
        self._backlogged.discard(account)

    def skip_window(self) -> None:
        """Exclude the current window from the check."""
        self._is_window_skipped = True

    def close_window_if_due(
        self,
        share_of: share_tree.ShareLookup,
        backlogged: typing.Iterable[types.AccountId],
        now_ms: float,
    ) -> None:
        """Check the window if it has ended, and start the next one.

        :param share_of: returns the current share of an account.
        :param backlogged: accounts with waiting requests.
        :param now_ms: the current time.
        """
        if now_ms - self._start_ms < WINDOW_MS:
            return
        if not self._is_window_skipped:
            self._check_partners(share_of)
            self._check_accounts(share_of)
        self.start_window(backlogged, now_ms)

    def _check_partners(self, share_of: share_tree.ShareLookup) -> None:
        weights: dict[str, float] = {}
        for account in self._backlogged:
            share = share_of(account)
            weights[share.partner] = share.partner_weight
        served: collections.Counter[str] = collections.Counter()
        for account, tokens in self._tokens.items():
            served[share_of(account).partner] += tokens
        self._check_split('partner', weights, served)

    def _check_accounts(self, share_of: share_tree.ShareLookup) -> None:
        weights_by_partner: dict[str, dict[str, float]] = {}
        for account in self._backlogged:
            share = share_of(account)
            weights = weights_by_partner.setdefault(share.partner, {})
            weights[account] = share.account_weight
        for weights in weights_by_partner.values():
            self._check_split('account', weights, self._tokens)

    def _check_split(
        self,
        kind: str,
        weights: typing.Mapping[str, float],
        served: typing.Mapping[str, float],
    ) -> None:
        total = sum(served.get(name, 0.0) for name in weights)
        if len(weights) < 2 or not total:
            return
        tolerance = (self._tolerance_tokens + self._largest_tokens) / total
        for name, weight in weights.items():
            agreed = weight / sum(weights.values())
            fraction = served.get(name, 0.0) / total
            self._monitor.check(
                invariants.Invariant.FAIR_SHARE,
                abs(fraction - agreed) <= MAX_SHARE_ERROR + tolerance,
                lambda: (
                    f'{kind} {name} got {fraction:.3f} of {total:.0f} tokens, '
                    f'agreed {agreed:.3f}'
                ),
            )
