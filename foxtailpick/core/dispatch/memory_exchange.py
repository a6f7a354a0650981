"""Exchange of the tokens that routers hold at endpoints, through the hub.

Load pattern: a few long prompts of several routers meet at one engine, whose
memory they fill though the number of requests there is small. Each router
tells the hub the tokens of its requests at endpoints that seem half full, or
that others named, and gets the sums back. Nothing is sent while there is
plenty of room. Where nothing was told of late, requests of others count with
the mean size of the router's own.
"""

import typing

from foxtailpick.core.dispatch import endpoint_memory
from foxtailpick.core.dispatch import endpoint_table
from foxtailpick.core import types

# Hundreds of tokens by endpoint.
Tokens = typing.Mapping[types.EndpointId, int]

UNIT_TOKENS = 100
# Shortest time between two reports of a router, and two totals of the hub.
INTERVAL_MS = 140.0
# An endpoint is named if this share of its memory seems to be in use.
MIN_NAMED_SHARE = 0.5
# Number of sent reports kept because totals in flight may contain them.
MAX_SENT_REPORTS = 8
# Largest number of endpoints in a report.
MAX_REPORTED = 64


class SentTokens:
    """Reports sent to the hub, subtracted again from its totals."""

    def __init__(self) -> None:
        self._sent: dict[int, Tokens] = {}
        self._number = 0

    def next_report(
        self,
        table: endpoint_table.EndpointTable,
        capacities: typing.Mapping[types.ServiceId, int],
        memories: typing.Mapping[
            types.ServiceId, endpoint_memory.ServiceMemory
        ],
        now_ms: float,
    ) -> tuple[int, dict[types.EndpointId, int]]:
        """Return the sequence number and the contents of the next report.

        :param table: the endpoints.
        :param capacities: memory of an endpoint in tokens, by service.
        :param memories: what this router knows of them, by service.
        :param now_ms: current time.
        """
        report = {}
        for item in table.list_all():
            capacity = capacities.get(item.entry.service, 0)
            memory = memories.get(item.entry.service)
            if not capacity or memory is None or not item.held_tokens:
                continue
            free = endpoint_memory.compute_free(item, memory, capacity, now_ms)
            is_named = endpoint_memory.is_told(item, now_ms)
            if is_named or free <= (1 - MIN_NAMED_SHARE) * capacity:
                report[item.id] = -(-item.held_tokens // UNIT_TOKENS)
        fullest = sorted(report, key=report.__getitem__, reverse=True)
        report = {key: report[key] for key in fullest[:MAX_REPORTED]}
        self._number += 1
        self._sent[self._number] = report
        self._sent.pop(self._number - MAX_SENT_REPORTS, None)
        return self._number, report

    def apply_totals(
        self,
        table: endpoint_table.EndpointTable,
        totals: Tokens,
        number: int,
        now_ms: float,
    ) -> bool:
        """Note the tokens of the other routers.

        :param table: the endpoints.
        :param totals: tokens of all routers at the endpoints that are named.
        :param number: sequence number of this router's report that they
            include, 0 if they include none.
        :param now_ms: current time.
        :returns: False if that report is no longer kept.
        """
        own = self._sent.get(number) if number else {}
        if own is None:
            return False
        for endpoint, count in totals.items():
            item = table.get(endpoint)
            if item is None:
                continue
            others = max(0, count - own.get(endpoint, 0))
            item.told_tokens = others * UNIT_TOKENS
            item.told_held_tokens = item.held_tokens
            item.told_ms = now_ms
        return True
