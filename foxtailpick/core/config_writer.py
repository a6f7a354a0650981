"""Submission of patches, each in one write transaction."""

import dataclasses
import random
import typing

import cbor2
import trio

from foxtailpick.adapters import base
from foxtailpick.core import account_table
from foxtailpick.core import clock
from foxtailpick.core import config_answers
from foxtailpick.core import config_delta
from foxtailpick.core import config_store
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import patches
from foxtailpick.core import types
from foxtailpick.core import verdict

MAX_SUBMIT_TRIES = 6
SUBMIT_TIMEOUT_MS = 30_000.0
BACKOFF_MS = 50.0
MAX_CHANGES_SHOWN = 20
CHUNKS_PER_WRITE = 64


@dataclasses.dataclass(slots=True)
class _Submission:
    """State of one submission.

    :param patch: the patch.
    :param may_have_written: whether a write was sent that got no reply.
    :param number: the newest number seen.
    """

    patch: patches.Patch
    may_have_written: bool = False
    number: types.ConfigNumber | None = None


class ConfigWriter:
    """Updates the numbered head by compare-and-swap.

    :param kv: the platform's key-value service.
    :param wall: wall clock, for the history.
    :param rng: source of jitter.
    :param keys: keys in the store.
    """

    def __init__(
        self,
        kv: base.KeyValue,
        wall: clock.Clock,
        rng: random.Random,
        keys: config_store.Keys = config_store.Keys(),
    ) -> None:
        self._kv = kv
        self._wall = wall
        self._rng = rng
        self._keys = keys
        self._cached: configuration.Configuration | None = None
        self.reader = config_store.ConfigReader(kv, keys)

    async def create(self, cfg: configuration.Configuration) -> bool:
        """Write the first configuration; tell whether it is in force.

        Its chunks are written before the head, which is safe because no
        chunk is deleted before a head exists.

        :param cfg: a validated configuration with number 1.
        :raises errors.StoreError: if a write failed, or its outcome is
            unknown.
        """
        table = account_table.AccountTable.from_mapping(cfg.accounts)
        index = config_delta.encode_index(cfg)
        raws = [index] + [
            table.read_chunk(i) for i in range(len(table.hashes))
        ]
        puts = [self._put_chunk(raw) for raw in dict.fromkeys(raws)]
        for first in range(0, len(puts), CHUNKS_PER_WRITE):
            batch = puts[first : first + CHUNKS_PER_WRITE]
            await self._kv.transact([], batch)
        digest = account_table.hash_content(index)
        head = config_store.Head(cfg.number, digest).encode()
        result = await self._kv.put_if_absent(self._keys.head, head)
        return result.is_applied or result.current[0].value == head

    async def submit(self, text: str) -> config_answers.PatchAnswer:
        """Submit a patch and return its outcome as far as it is known.

        The same text may be submitted again after any outcome.

        :param text: the patch in INI.
        """
        try:
            patch = patches.parse_patch(text)
        except errors.PatchError as exc:
            return config_answers.log_answer(
                '?', config_answers.make_rejection(exc, None)
            )
        submission = _Submission(patch)
        answer = None
        with trio.move_on_after(SUBMIT_TIMEOUT_MS / types.SECOND_MS):
            answer = await self._resolve(submission)
        if answer is None:
            # A write may be in flight, so the outcome is unknown.
            answer = config_answers.make_unknown(
                True, submission.number, _make_timeout_error()
            )
        return config_answers.log_answer(patch.patch_id, answer)

    async def _resolve(
        self, submission: _Submission
    ) -> config_answers.PatchAnswer:
        failure: errors.FoxtailError | None = None
        for attempt in range(MAX_SUBMIT_TRIES):
            if attempt:
                pause_ms = BACKOFF_MS * 2**attempt * self._rng.uniform(0.5, 1)
                await clock.sleep_ms(pause_ms)
            try:
                answer = await self._attempt_submission(submission)
            except errors.PatchError as exc:
                return config_answers.make_rejection(exc, submission.number)
            except (errors.StoreError, errors.ConfigError) as exc:
                failure = exc
                if exc.verdict is not verdict.Verdict.NOT_RUN:
                    submission.may_have_written = True
                continue
            if answer:
                return answer
        return config_answers.make_unknown(
            submission.may_have_written, submission.number, failure
        )

    async def _attempt_submission(
        self, submission: _Submission
    ) -> config_answers.PatchAnswer | None:
        """Look up the outcome of the patch; write it if it can still commit.

        The head is read before the record of the patch: if the head has
        moved past the base and the record is absent afterwards, no write of
        this patch can take effect any more.
        """
        patch = submission.patch
        found = await self.reader.read_head()
        if found is None:
            raise errors.PatchError(
                errors.ErrorCode.PATCH_OUTDATED,
                'expected a configuration to patch, got none; create it',
            )
        head, revision = found
        submission.number = head.number
        record = await self._kv.get(self._keys.patch_key(patch.patch_id))
        if record is not None:
            return config_answers.read_record(patch, record.value)
        if patch.base != head.number:
            return await self._answer_outdated(patch, head)
        return await self._write(submission, head, revision)

    async def _answer_outdated(
        self, patch: patches.Patch, head: config_store.Head
    ) -> config_answers.PatchAnswer:
        if patch.base < head.number - config_store.HISTORY_PATCHES:
            return config_answers.make_expired(patch, head.number)
        count = min(head.number - patch.base, MAX_CHANGES_SHOWN)
        try:
            since = await self.reader.read_history(head.number, count)
        except errors.FoxtailError:
            since = []
        return config_answers.make_outdated(patch, head.number, since)

    async def _write(
        self,
        submission: _Submission,
        head: config_store.Head,
        revision: types.Revision,
    ) -> config_answers.PatchAnswer | None:
        patch = submission.patch
        old = await self._load(head, patch)
        changes = patches.plan_changes(old, patch)
        new = patches.apply_changes(old, changes)
        delta = config_delta.make_delta(
            patch, changes, old, new, self._wall.now()
        )
        writes = await self._plan_writes(patch, old, new, head, delta)
        compares = [
            base.Compare(self._keys.head, revision),
            base.Compare(self._keys.patch_key(patch.patch_id), base.ABSENT),
        ]
        result = await self._kv.transact(compares, writes)
        if not result.is_applied:
            return None
        self._cached = new
        return config_answers.PatchAnswer(
            config_answers.Outcome.ACCEPTED,
            new.number,
            cfg=new,
            delta=delta,
        )

    async def _load(
        self, head: config_store.Head, patch: patches.Patch
    ) -> configuration.Configuration:
        cfg = self._cached
        if cfg is None or cfg.number != head.number:
            cfg = await self.reader.load_index(head, cfg)
        wanted = patches.find_needed_chunks(cfg, patch)
        self._cached = await self.reader.load_chunks(cfg, wanted)
        return self._cached

    async def _plan_writes(
        self,
        patch: patches.Patch,
        old: configuration.Configuration,
        new: configuration.Configuration,
        head: config_store.Head,
        delta: config_delta.Delta,
    ) -> list[base.Put | base.Delete]:
        changed = [index for index, _ in delta.chunk_hashes]
        raws = [new.accounts.read_chunk(index) for index in changed]
        raws.append(config_delta.encode_index(new))
        dropped = [old.accounts.hashes[index] for index in changed]
        dropped.append(head.index_hash)
        entry = await self._kv.get(self._keys.ledger)
        ledger = config_store.Ledger()
        if entry is not None:
            ledger = config_store.Ledger.decode(entry.value)
        added = [account_table.hash_content(raw) for raw in raws]
        ledger, deletable = ledger.advance(
            new.number, added, _skip_empty(dropped)
        )
        next_head = config_store.Head(new.number, delta.index_hash)
        record = cbor2.dumps([new.number, patch.digest])
        return [
            base.Put(self._keys.head, next_head.encode()),
            base.Put(self._keys.ledger, ledger.encode()),
            base.Put(self._keys.delta_key(new.number), delta.encode()),
            base.Put(self._keys.patch_key(patch.patch_id), record),
            *[self._put_chunk(raw) for raw in raws],
            *[base.Delete(self._keys.chunk_key(item)) for item in deletable],
            *await self._plan_history_expiry(new.number),
        ]

    async def _plan_history_expiry(self, number: int) -> list[base.Delete]:
        oldest = number - config_store.HISTORY_PATCHES
        if oldest < 1:
            return []
        delta = await self.reader.read_delta(oldest)
        if delta is None:
            return []
        return [
            base.Delete(self._keys.delta_key(oldest)),
            base.Delete(self._keys.patch_key(delta.patch_id)),
        ]

    def _put_chunk(self, raw: bytes) -> base.Put:
        digest = account_table.hash_content(raw)
        return base.Put(self._keys.chunk_key(digest), raw)


def _skip_empty(digests: typing.Iterable[bytes]) -> list[bytes]:
    """Exclude the empty chunk, which many slots of a table share."""
    return [item for item in digests if item != account_table.EMPTY_HASH]


def _make_timeout_error() -> errors.StoreError:
    return errors.StoreError(
        errors.ErrorCode.STORE_UNAVAILABLE,
        f'expected an outcome within {SUBMIT_TIMEOUT_MS:.0f} ms, got none; '
        f'the store is slow',
    )
