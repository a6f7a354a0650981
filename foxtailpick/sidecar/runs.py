"""Output of each admitted attempt, retained so that it can be resumed."""

import dataclasses

import trio

from foxtailpick.core import messages
from foxtailpick.core import replay
from foxtailpick.core import types
from foxtailpick.sidecar import work as work_lib

DEFAULT_TOTAL_BYTES = 8 * 1024 * 1024

End = messages.Finished | messages.Answer | messages.Failed


@dataclasses.dataclass(slots=True)
class Run:
    """An attempt, from its admission until its retention expires.

    :param work: the message that opened the attempt.
    :param buffer: streamed chunks; empty for a plain call.
    :param detached_ms: time since which no connection sends it.
    :param deadline_ms: time at which its caller stops waiting.
    :param end: its final message, None while it waits or runs.
    :param ended_ms: time at which it ended.
    :param acknowledged: chunks that the router has passed on.
    :param is_pausing: whether its scope was cancelled to pause it.
    :param scope: cancels the work at the endpoint.
    :param sender_scope: cancels the task that sends it, None without one.
    :param changed: set, and replaced, at each change.
    :param ended: set when it has ended.
    """

    work: work_lib.Work
    buffer: replay.ReplayBuffer
    detached_ms: float
    deadline_ms: float
    end: End | None = None
    ended_ms: float = 0.0
    acknowledged: int = 0
    is_pausing: bool = False
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    sender_scope: trio.CancelScope | None = None
    changed: trio.Event = dataclasses.field(default_factory=trio.Event)
    ended: trio.Event = dataclasses.field(default_factory=trio.Event)

    @property
    def held_bytes(self) -> int:
        """Bytes held for the request and its output so far."""
        answered = 0
        if isinstance(self.end, messages.Answer):
            answered = len(self.end.body)
        return len(self.work.body) + self.buffer.held_bytes + answered

    def notify(self) -> None:
        """Wake the tasks that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()

    def close(self, end: End, now_ms: float) -> None:
        """Record the end and release the body of the request.

        :param end: the last message of the attempt.
        :param now_ms: the current time.
        """
        self.work = dataclasses.replace(self.work, body=b'')
        self.end = end
        self.ended_ms = now_ms
        self.ended.set()
        self.notify()

    def acknowledge(self, sequence: int) -> None:
        """Record the chunks that the router has passed on."""
        self.acknowledged = max(self.acknowledged, sequence)
        self.buffer.acknowledge(sequence)
        self.notify()


class RunTable:
    """The runs of a sidecar, by attempt.

    :param stream_bytes: buffer size of one stream.
    :param retention_ms: time for which an ended run is kept.
    :param total_bytes: bound on the bytes of all runs; above it, ended runs
        that are not being sent are evicted, oldest first.
    """

    def __init__(
        self,
        stream_bytes: int,
        retention_ms: float,
        total_bytes: int = DEFAULT_TOTAL_BYTES,
    ) -> None:
        self._stream_bytes = stream_bytes
        self._retention_ms = retention_ms
        self._total_bytes = total_bytes
        self._runs: dict[types.AttemptId, Run] = {}

    def add(self, work: work_lib.Work, now_ms: float) -> Run:
        """Create the run of a new attempt."""
        buffer = replay.ReplayBuffer(work.attempt, self._stream_bytes)
        run = Run(work, buffer, now_ms, now_ms + work.deadline_ms)
        self._runs[work.attempt] = run
        return run

    def find(self, attempt: types.AttemptId) -> Run | None:
        """Return the run of an attempt, None if there is none."""
        return self._runs.get(attempt)

    def list_open(self) -> list[Run]:
        """Return the runs that have not ended."""
        return [run for run in self._runs.values() if run.end is None]

    def is_drained(self) -> bool:
        """Return whether all runs have ended and none is being sent."""
        return all(
            run.end is not None and run.sender_scope is None
            for run in self._runs.values()
        )

    def drop_expired(self, now_ms: float) -> None:
        """Evict ended runs that have expired or exceed the total bound."""
        ended = [run for run in self._runs.values() if run.end is not None]
        ended.sort(key=lambda run: run.ended_ms)
        held_bytes = sum(run.held_bytes for run in self._runs.values())
        for run in ended:
            is_expired = now_ms - run.ended_ms > self._retention_ms
            is_over_limit = held_bytes > self._total_bytes
            if is_expired or (is_over_limit and run.sender_scope is None):
                del self._runs[run.work.attempt]
                held_bytes -= run.held_bytes
