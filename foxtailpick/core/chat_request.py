"""Validation of chat completion requests."""

import dataclasses
import json
import typing

from foxtailpick.adapters import base
from foxtailpick.core import errors
from foxtailpick.core import types

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 32_768
# English text averages about four characters per token.
CHARS_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class ChatRequest:
    """A validated chat completion request.

    :param model: requested model.
    :param messages: the whole chat so far, at least one message.
    :param max_tokens: maximum number of tokens to generate.
    :param is_stream: whether the answer is streamed.
    """

    model: types.ModelId
    messages: tuple[base.ChatMessage, ...]
    max_tokens: int
    is_stream: bool

    @classmethod
    def from_json(cls, body: bytes) -> 'ChatRequest':
        """Parse and validate a request body.

        :param body: JSON in the usual form of chat completions.
        :raises errors.RequestError: with code `REQUEST_MALFORMED`, naming
            the invalid field.
        """
        fields = _load_object(body)
        return cls(
            model=types.ModelId(_get_field(fields, 'model', str)),
            messages=_parse_messages(fields.get('messages')),
            max_tokens=_parse_max_tokens(fields),
            is_stream=_get_field(fields, 'stream', bool, False),
        )

    @property
    def prompt_tokens(self) -> int:
        """Estimated number of tokens in the prompt."""
        chars = sum(len(message.content) for message in self.messages)
        return chars // CHARS_PER_TOKEN + 1


def _load_object(body: bytes) -> dict:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise _make_error('body', 'JSON', exc) from exc
    if not isinstance(fields, dict):
        raise _make_error('body', 'a JSON object', fields)
    return fields


def _get_field(
    fields: dict, name: str, kind: type, default: typing.Any = None
) -> typing.Any:
    value = fields.get(name, default)
    if type(value) is not kind:
        raise _make_error(name, f'a {kind.__name__}', value)
    return value


def _parse_messages(value: object) -> tuple[base.ChatMessage, ...]:
    if not isinstance(value, list) or not value:
        raise _make_error('messages', 'an array with a message', value)
    return tuple(_parse_message(item) for item in value)


def _parse_message(item: object) -> base.ChatMessage:
    if not isinstance(item, dict):
        raise _make_error('messages', 'objects', item)
    return base.ChatMessage(
        role=_get_field(item, 'role', str),
        content=_get_field(item, 'content', str),
    )


def _parse_max_tokens(fields: dict) -> int:
    value = _get_field(fields, 'max_tokens', int, DEFAULT_MAX_TOKENS)
    if not 1 <= value <= MAX_TOKENS_LIMIT:
        raise _make_error(
            'max_tokens', f'a number from 1 to {MAX_TOKENS_LIMIT}', value
        )
    return value


def _make_error(
    name: str, expected: str, value: object
) -> errors.RequestError:
    return errors.RequestError(
        errors.ErrorCode.REQUEST_MALFORMED,
        f'{name}: expected {expected}, got {value!r:.80}; correct the request',
    )
