"""Load generator of the demo: multi-turn chats and bookings."""

import collections
import dataclasses
import random

import httpcore
import trio

from foxtailpick.demo import deployment
from foxtailpick.standins import caller as caller_lib
from foxtailpick.standins import engine_state
from foxtailpick.standins import fleet as fleet_lib

CHATS = 36
BOOKING_CALLERS = 6
MIN_TOKENS = 15
MAX_TOKENS = 60
MAX_PROMPT_CHARS = 8_000
MAX_PAUSE_S = 0.4
BOOKING_PAUSE_S = 0.15
REFUSAL_PAUSE_S = 0.3


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of the outcomes that the callers observed.

    :param chats: chat requests that were answered.
    :param broken_answers: answers that were incomplete or had wrong tokens,
        and lost connections of both chats and bookings.
    :param failed_chats: chat requests that ended with an error.
    :param bookings: bookings that were confirmed.
    :param unknown_bookings: bookings reported with an unknown outcome.
    :param refused_bookings: bookings refused as not run.
    :param false_refusals: requests refused as not run that had run.
    :param prompt_tokens: prompt tokens that an earlier turn of the chat
        could have cached.
    :param cached_tokens: those of them found in an engine's cache.
    :param codes: errors that callers received, by description.
    """

    chats: int = 0
    broken_answers: int = 0
    failed_chats: int = 0
    bookings: int = 0
    unknown_bookings: int = 0
    refused_bookings: int = 0
    false_refusals: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    codes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class Traffic:
    """Runs the callers until `is_stopped` is set.

    :param fleet: the deployment.
    :param urls: router URLs that callers use; changed when a router stops.
    :param rng: source of randomness for the workload.
    """

    def __init__(
        self, fleet: fleet_lib.Fleet, urls: list[str], rng: random.Random
    ) -> None:
        self.tally = Tally()
        self.urls = urls
        self.is_stopped = False
        self._fleet = fleet
        self._rng = rng
        self._accounts = sorted(deployment.load_configuration().accounts)

    async def run(self) -> None:
        """Run all callers until `is_stopped` is set."""
        async with trio.open_nursery() as nursery:
            for index in range(CHATS):
                nursery.start_soon(self._run_chat, index)
            for index in range(BOOKING_CALLERS):
                nursery.start_soon(self._run_bookings, index)

    def _open_caller(self, index: int) -> caller_lib.Caller:
        account = self._accounts[index % len(self._accounts)]
        credential = deployment.make_credential(account)
        return caller_lib.Caller(self._rng.choice(self.urls), credential)

    async def _run_chat(self, index: int) -> None:
        prompt = f'itinerary {index} '
        location = ''
        cached_before = 0
        async with self._open_caller(index) as caller:
            turn = 0
            while not self.is_stopped:
                turn += 1
                request = f'chat-{index}-{turn}'
                prompt = (prompt + 'zone rules ' * 40)[-MAX_PROMPT_CHARS:]
                headers = caller_lib.make_request_headers(
                    request, f'chat-{index}', location
                )
                answer = await self._ask(caller, request, prompt, headers)
                if answer is not None and answer.is_complete:
                    location = answer.location
                    self.tally.prompt_tokens += cached_before
                    self.tally.cached_tokens += min(
                        answer.cached_tokens, cached_before
                    )
                    cached_before = len(prompt) // 4
                await trio.sleep(self._rng.uniform(0, MAX_PAUSE_S))

    async def _ask(
        self,
        caller: caller_lib.Caller,
        request: str,
        prompt: str,
        headers: dict[str, str],
    ) -> caller_lib.ChatAnswer | None:
        tokens = self._rng.randint(MIN_TOKENS, MAX_TOKENS)
        caller.url = self._rng.choice(self.urls)
        try:
            answer = await caller.complete_chat(
                deployment.MODEL, prompt, tokens, headers
            )
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            self.tally.broken_answers += 1
            self.tally.codes[f'connection lost, {exc!r}'] += 1
            return None
        if answer.problem:
            self._count_problem(answer.problem)
            self.tally.failed_chats += 1
            if answer.problem['verdict'] == 'not-run':
                self.tally.false_refusals += self._count_chat_runs(request)
            await trio.sleep(REFUSAL_PAUSE_S)
            return answer
        expected = engine_state.make_tokens(request, tokens)
        is_correct = answer.is_complete and answer.texts == expected
        self.tally.chats += 1
        if not is_correct:
            self.tally.broken_answers += 1
            received = f'{len(answer.texts)} of {tokens} tokens'
            self.tally.codes[
                f'{request}: {received}, end {answer.is_complete}'
            ] += 1
        return answer

    async def _run_bookings(self, index: int) -> None:
        number = 0
        async with self._open_caller(index) as caller:
            while not self.is_stopped:
                number += 1
                key = f'booking-{index}-{number}'
                for _ in range(self._rng.choice((1, 1, 2))):
                    await self._send_booking(caller, key)
                await trio.sleep(BOOKING_PAUSE_S)

    async def _send_booking(self, caller: caller_lib.Caller, key: str) -> None:
        caller.url = self._rng.choice(self.urls)
        # A refusal covers this call only; an earlier call with the same key
        # may have run.
        runs_before = self.count_runs(key)
        try:
            answer = await caller.call_service(
                deployment.PLAIN_SERVICE, 'bookings', f'{{"k":"{key}"}}', key
            )
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            self.tally.broken_answers += 1
            self.tally.codes[f'connection lost, {exc!r}'] += 1
            return
        if 'verdict' not in answer.body:
            self.tally.bookings += 1
            return
        self._count_problem(answer.body)
        if answer.body['verdict'] == 'not-run':
            self.tally.refused_bookings += 1
            self.tally.false_refusals += self.count_runs(key) - runs_before
        else:
            self.tally.unknown_bookings += 1

    def count_runs(self, key: str) -> int:
        """Return how many times a booking has run."""
        return sum(
            service.runs[key] for service in self._fleet.services.values()
        )

    def _count_chat_runs(self, request: str) -> int:
        return sum(
            engine.runs[request] for engine in self._fleet.engines.values()
        )

    def _count_problem(self, problem: dict) -> None:
        self.tally.codes[f'{problem["code"]} {problem["title"]}'] += 1
