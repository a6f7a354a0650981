"""Finds the ends of events in server-sent event streams.

An event ends with a blank line. A stream that ends elsewhere was truncated,
and one that continues at another endpoint continues after a complete event.
"""

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
# Longer than any event of a model's answer.
MAX_EVENT_BYTES = 262_144


# Blank lines after another line; a line ends with LF, CR LF or CR.
_BLANK_LINES = (b'\n\n', b'\n\r\n', b'\r\r', b'\n\r')
_TAIL_BYTES = 3


class EventBoundary:
    """Tells whether the data of a stream so far ends with a complete event."""

    def __init__(self) -> None:
        self._tail = b''
        self._event_bytes = 0
        self.has_event = False

    def feed(self, data: bytes) -> bool:
        """Add received bytes; return whether an event ends in them.

        :param data: bytes of the stream.
        :raises ValueError: if an event exceeds the maximum length.
        """
        # A blank line may begin in the data before.
        recent = self._tail + data
        end = max(
            recent.rfind(line) + len(line) if line in recent else 0
            for line in _BLANK_LINES
        )
        has_ended = end > len(self._tail)
        if end:
            self.has_event = True
            self._event_bytes = len(recent) - end
        else:
            self._event_bytes += len(data)
        self._tail = recent[-_TAIL_BYTES:]
        if self._event_bytes > MAX_EVENT_BYTES:
            raise ValueError(
                f'expected the end of an event within {MAX_EVENT_BYTES} '
                f'bytes, got none in {self._event_bytes}'
            )
        return has_ended

    @property
    def is_empty(self) -> bool:
        """Whether no data was received."""
        return not self._tail

    @property
    def is_within_event(self) -> bool:
        """Whether the data ends within an event."""
        return bool(self._tail) and not self._tail.endswith(_BLANK_LINES)


class EventSplitter:
    """Forwards complete events and buffers an incomplete one.

    :param last_id: id of the last event that the caller received, if any.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self._incomplete = b''

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the complete events.

        :param data: bytes of the stream.
        :raises ValueError: if an event exceeds the maximum length.
        """
        if self._incomplete:
            data = self._incomplete + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise ValueError(
                    f'expected the end of an event within {MAX_EVENT_BYTES} '
                    f'bytes, got none in {len(data)}'
                )
            self._incomplete = data
            return b''
        cut = end + len(_EVENT_END)
        self._incomplete = data[cut:]
        complete = data[:cut]
        self._update_last_id(complete)
        return complete

    @property
    def is_at_boundary(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._incomplete

    def drop_incomplete_event(self) -> None:
        """Discard the incomplete event; another endpoint resends it."""
        self._incomplete = b''

    def _update_last_id(self, complete: bytes) -> None:
        start = complete.rfind(b'\n' + _ID_FIELD) + 1
        if start == 0 and not complete.startswith(_ID_FIELD):
            return
        end = complete.find(b'\n', start)
        value = complete[start + len(_ID_FIELD) : end]
        self.last_id = value.strip().decode('latin-1')
