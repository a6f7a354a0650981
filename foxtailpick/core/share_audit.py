"""Check that agreed shares hold, window by window, from counted tokens.

Independent of the virtual times that choose what starts next: it counts
what was served and compares it with the shares in force.
"""

import collections
import typing

from foxtailpick.core import invariants
from foxtailpick.core import share_tree
from foxtailpick.core import types

WINDOW_MS = 10.0 * types.SECOND_MS
MAX_ERROR = 0.02


class ShareAudit:
    """Tokens served in the current window.

    Only accounts and partners that had work waiting during the whole
    window are compared: the others did not ask for their part.

    :param monitor: checks the promise on shares.
    :param slack_tokens: what a share may be off besides the error allowed:
        requests cannot be divided, and saved parts may be used.
    """

    def __init__(
        self, monitor: invariants.Monitor, slack_tokens: float
    ) -> None:
        self._monitor = monitor
        self._slack_tokens = slack_tokens
        self._tokens: collections.Counter[types.AccountId] = (
            collections.Counter()
        )
        self._backlogged: set[types.AccountId] = set()
        self._largest_tokens = 0.0
        self._is_excused = False
        self._start_ms = 0.0

    def restart(
        self, backlogged: typing.Iterable[types.AccountId], now_ms: float
    ) -> None:
        """Begin a window.

        :param backlogged: accounts with waiting work.
        :param now_ms: the current time.
        """
        self._tokens.clear()
        self._backlogged = set(backlogged)
        self._largest_tokens = 0.0
        self._is_excused = False
        self._start_ms = now_ms

    def record(self, account: types.AccountId, tokens: float) -> None:
        """Count tokens served."""
        self._tokens[account] += tokens
        self._largest_tokens = max(self._largest_tokens, tokens)

    def note_empty(self, account: types.AccountId) -> None:
        """Note that an account has no work waiting any more."""
        self._backlogged.discard(account)

    def excuse(self) -> None:
        """Leave the current window unchecked."""
        self._is_excused = True

    def close_if_due(
        self,
        share_of: share_tree.ShareLookup,
        backlogged: typing.Iterable[types.AccountId],
        now_ms: float,
    ) -> None:
        """Check the window if it is over, and begin the next one.

        :param share_of: gives the share of an account in force.
        :param backlogged: accounts with waiting work.
        :param now_ms: the current time.
        """
        if now_ms - self._start_ms < WINDOW_MS:
            return
        if not self._is_excused:
            self._check_partners(share_of)
            self._check_accounts(share_of)
        self.restart(backlogged, now_ms)

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
        by_partner: dict[str, dict[str, float]] = {}
        for account in self._backlogged:
            share = share_of(account)
            weights = by_partner.setdefault(share.partner, {})
            weights[account] = share.account_weight
        for weights in by_partner.values():
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
        slack = (self._slack_tokens + self._largest_tokens) / total
        for name, weight in weights.items():
            agreed = weight / sum(weights.values())
            part = served.get(name, 0.0) / total
            self._monitor.check(
                invariants.Invariant.FAIR_SHARE,
                abs(part - agreed) <= MAX_ERROR + slack,
                lambda: (
                    f'{kind} {name} had {part:.3f} of {total:.0f} tokens, '
                    f'agreed {agreed:.3f}'
                ),
            )
