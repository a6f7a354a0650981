"""The latest decisions of a router, kept to be explained."""

import collections
import dataclasses

from loguru import logger

from foxtailpick.core import types

MAX_REQUESTS = 1_000
MAX_LINES = 20


@dataclasses.dataclass(slots=True)
class _Record:
    account: types.AccountId
    lines: list[str]


class DecisionLog:
    """Lines about each request, the oldest requests dropped first.

    :param max_requests: how many requests are kept.
    """

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._records: collections.OrderedDict[types.RequestId, _Record] = (
            collections.OrderedDict()
        )

    def add(
        self, prefix: str, request: types.RequestId, account: str, line: str
    ) -> None:
        """Log a decision and keep it.

        :param prefix: the part that decided, in capitals.
        :param request: the request concerned.
        :param account: client account of the request.
        :param line: what was decided and why.
        """
        text = f'{prefix} request {request} account {account}: {line}'
        logger.info('{}', text)
        record = self._records.get(request)
        if record is None:
            record = _Record(types.AccountId(account), [])
            self._records[request] = record
        if len(record.lines) < MAX_LINES:
            record.lines.append(text)
        while len(self._records) > self._max_requests:
            self._records.popitem(last=False)

    def find(self, request: types.RequestId) -> list[str]:
        """Return the lines about a request, none if it is not kept."""
        record = self._records.get(request)
        return list(record.lines) if record else []
