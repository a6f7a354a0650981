"""Splits server-sent event streams that may continue at another endpoint."""

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
# Longer than any event of a model's answer.
MAX_EVENT_BYTES = 262_144


class EventSplitter:
    """Forwards complete events and buffers an incomplete one.

    :param last_id: id of the last event that the caller received, if any.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self._tail = b''

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the complete events.

        :param data: bytes of the stream.
        :raises ValueError: if an event exceeds the maximum length.
        """
        if self._tail:
            data = self._tail + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise ValueError('expected the end of an event, got none')
            self._tail = data
            return b''
        cut = end + len(_EVENT_END)
        self._tail = data[cut:]
        whole = data[:cut]
        self._note_last_id(whole)
        return whole

    @property
    def is_at_border(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._tail

    def drop_tail(self) -> None:
        """Discard the incomplete event; another endpoint resends it."""
        self._tail = b''

    def _note_last_id(self, whole: bytes) -> None:
        start = whole.rfind(b'\n' + _ID_FIELD) + 1
        if start == 0 and not whole.startswith(_ID_FIELD):
            return
        end = whole.find(b'\n', start)
        value = whole[start + len(_ID_FIELD) : end]
        self.last_id = value.strip().decode('latin-1')
