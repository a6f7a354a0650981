"""Recent routing decisions, stored for the `explain` command."""

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


class DecisionHistory:
    """Logs and stores the decisions on each request; evicts the oldest.

    :param max_requests: maximum number of requests stored.
    """

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._records: collections.OrderedDict[types.RequestId, _Record] = (
            collections.OrderedDict()
        )

    def add(
        self, prefix: str, request: types.RequestId, account: str, line: str
    ) -> None:
        """Log a decision and store it.

        :param prefix: kind of the decision, in capitals.
        :param request: id of the request.
        :param account: client account of the request.
        :param line: the decision and its reason.
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
        """Return the lines on a request, empty if it is not stored."""
        record = self._records.get(request)
        return list(record.lines) if record else []
