"""Prefix cache of the model engine stand-in, with its event log."""

import collections

from foxtailpick.adapters import base
from foxtailpick.core import types

MAX_EVENTS = 10_000


class PrefixCache:
    """LRU cache of chat prefixes that records its events."""

    def __init__(self) -> None:
        self._tokens: collections.OrderedDict[types.ChatId, int] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, base.CacheEvent]] = (
            collections.deque(maxlen=MAX_EVENTS)
        )
        self._event_count = 0

    @property
    def size_tokens(self) -> int:
        """Return the number of cached tokens."""
        return sum(self._tokens.values())

    def clear(self) -> None:
        """Drop all entries without recording events."""
        self._tokens.clear()

    def look_up(self, chat: types.ChatId | None, prompt_tokens: int) -> int:
        """Return how many tokens of a prompt are cached, and mark them used.

        :param chat: the chat, None for a request outside any chat.
        :param prompt_tokens: length of the prompt in tokens.
        """
        if chat not in self._tokens:
            return 0
        self._tokens.move_to_end(chat)
        return min(self._tokens[chat], prompt_tokens)

    def store(
        self,
        chat: types.ChatId,
        tokens: int,
        max_tokens: int,
        now_ms: float,
    ) -> None:
        """Cache the prefix of a chat, evicting the least recently used ones.

        :param chat: the chat.
        :param tokens: length of its prefix in tokens.
        :param max_tokens: capacity of the cache.
        :param now_ms: the current time.
        """
        self._tokens[chat] = tokens
        self._tokens.move_to_end(chat)
        self._publish(base.CacheEventKind.STORED, chat, tokens, now_ms)
        while self.size_tokens > max_tokens:
            old, old_tokens = self._tokens.popitem(last=False)
            self._publish(base.CacheEventKind.EVICTED, old, old_tokens, now_ms)

    def list_events(
        self, after: int, until_ms: float, loss_every: int
    ) -> list[base.CacheEvent]:
        """Return recorded events, except lost ones.

        :param after: only events with a higher sequence number.
        :param until_ms: only events up to this time.
        :param loss_every: events whose sequence number is a multiple of
            this are lost, 0 for none.
        """
        return [
            event
            for at_ms, event in self._events
            if event.sequence > after
            and at_ms <= until_ms
            and not (loss_every and event.sequence % loss_every == 0)
        ]

    def _publish(
        self,
        kind: base.CacheEventKind,
        chat: types.ChatId,
        tokens: int,
        now_ms: float,
    ) -> None:
        self._event_count += 1
        event = base.CacheEvent(self._event_count, kind, chat, tokens)
        self._events.append((now_ms, event))
