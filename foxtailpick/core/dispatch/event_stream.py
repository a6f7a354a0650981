"""Finds the borders of events in a stream, for streams that may move."""

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
# An event longer than this is no event of a model's answer.
MAX_EVENT_BYTES = 262_144


class EventSplitter:
    """Passes on whole events and keeps the rest of a broken one back.

    :param last_id: id of the last event that the caller has, if any.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self._tail = b''

    def feed(self, data: bytes) -> bytes:
        """Take in bytes; return the events that are whole now.

        :raises ValueError: if an event does not end.
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
        """Whether no part of an event is kept back."""
        return not self._tail

    def drop_tail(self) -> None:
        """Forget the begun event: another endpoint sends it anew."""
        self._tail = b''

    def _note_last_id(self, whole: bytes) -> None:
        start = whole.rfind(b'\n' + _ID_FIELD) + 1
        if start == 0 and not whole.startswith(_ID_FIELD):
            return
        end = whole.find(b'\n', start)
        value = whole[start + len(_ID_FIELD) : end]
        self.last_id = value.strip().decode('latin-1')
