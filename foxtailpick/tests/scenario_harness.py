"""Harness that runs a deployment for synchronous scenario steps.

The trio loop runs in a separate thread; a step submits one function at a
time to it and waits for the result.
"""

import contextlib
import dataclasses
import json
import threading
import typing

import httpcore
import trio

from foxtailpick.core import configuration
from foxtailpick.core import invariants
from foxtailpick.core import settings
from foxtailpick.standins import caller as caller_lib
from foxtailpick.standins import engine_state
from foxtailpick.standins import fleet as fleet_lib

ACCOUNTS = {'hiker': 'outfitters', 'guide': 'wardens'}
DOMAINS = ('alue-yksi', 'alue-kaksi')
STEP_TIMEOUT_S = 40.0
MODEL = 'malli'
MODEL_SERVICE = 'malli-palvelin'
PLAIN_SERVICE = 'lupa-sovellus'
POLL_S = 0.005
REGION = 'pohjola'
REFUSAL_PAUSE_S = 0.05


@dataclasses.dataclass(slots=True)
class Traffic:
    """Background chats, which run until `is_stopped` is set.

    :param answers: the answer and the number of tokens requested, by
        request.
    :param lost_requests: requests whose connection to the router was lost.
    :param is_stopped: whether the chats end after the current request.
    """

    answers: dict[str, tuple[caller_lib.ChatAnswer, int]] = dataclasses.field(
        default_factory=dict
    )
    lost_requests: list[str] = dataclasses.field(default_factory=list)
    is_stopped: bool = False


class ScenarioHarness:
    """Owns the thread of the trio loop; a context manager.

    :param monitor: checks the invariants in all components.
    """

    def __init__(self, monitor: invariants.Monitor) -> None:
        self.monitor = monitor
        self.limits = settings.LimitSettings()
        self.engine = engine_state.EngineSettings()
        self.is_warm = True
        self.prompt = 'zone rules'
        self.traffic = Traffic()
        self.answers: dict[str, typing.Any] = {}
        self.context: dict[str, typing.Any] = {}
        self.cleanups: list[typing.Callable[[], None]] = []
        self.fleet: fleet_lib.Fleet | None = None
        self.nursery: trio.Nursery | None = None
        self._failure: BaseException | None = None
        self._started = threading.Event()
        self._thread: threading.Thread | None = None
        self._token: trio.lowlevel.TrioToken | None = None

    def __enter__(self) -> 'ScenarioHarness':
        return self

    def __exit__(self, *exc_info: typing.Any) -> None:
        for close in self.cleanups:
            close()
        if self._thread is None:
            return
        if self._thread.is_alive():
            trio.from_thread.run_sync(
                self.nursery.cancel_scope.cancel, trio_token=self._token
            )
        self._thread.join(STEP_TIMEOUT_S)
        if self._failure is not None:
            raise self._failure

    def open(self) -> None:
        """Start the platform with the initial configuration."""
        self._thread = threading.Thread(target=self._run_loop, daemon=True)
        self._thread.start()
        assert self._started.wait(STEP_TIMEOUT_S), 'the platform did not start'

    def run(
        self, function: typing.Callable[..., typing.Awaitable], *args
    ) -> typing.Any:
        """Run a function in the loop, with a time-out of `STEP_TIMEOUT_S`."""

        async def run_bounded() -> typing.Any:
            with trio.fail_after(STEP_TIMEOUT_S):
                return await function(*args)

        try:
            return trio.from_thread.run(run_bounded, trio_token=self._token)
        except (trio.Cancelled, trio.RunFinishedError) as exc:
            self._thread.join(STEP_TIMEOUT_S)
            raise AssertionError('the deployment ended early') from (
                self._failure or exc
            )

    def spawn(
        self, function: typing.Callable[..., typing.Awaitable], *args
    ) -> None:
        """Start a function in the loop and return immediately."""
        trio.from_thread.run_sync(
            self.nursery.start_soon, function, *args, trio_token=self._token
        )

    def _run_loop(self) -> None:
        try:
            trio.run(self._main)
        except BaseException as exc:  # Re-raised by __exit__.
            self._failure = exc
        finally:
            self._started.set()

    async def _main(self) -> None:
        self._token = trio.lowlevel.current_trio_token()
        cfg = configuration.Configuration.from_ini(make_config())
        async with fleet_lib.open_fleet(
            cfg, self.monitor, self.limits
        ) as self.fleet:
            async with trio.open_nursery() as self.nursery:
                self._started.set()
                await trio.sleep_forever()

    # Functions that steps run in the loop.

    async def start_endpoints(self, models: int, plain: int) -> None:
        """Start endpoints, alternating between the failure domains."""
        for index in range(models):
            await self.start_model(f'm{index}', DOMAINS[index % 2])
        for index in range(plain):
            spec = make_spec(f's{index}', DOMAINS[index % 2], PLAIN_SERVICE)
            await self.fleet.start_endpoint(spec)

    async def start_model(self, name: str, domain: str) -> None:
        """Start a model endpoint."""
        spec = make_spec(name, domain, MODEL_SERVICE, (MODEL,))
        await self.fleet.start_endpoint(spec, self.engine)
        if self.is_warm:
            self.fleet.engines[name].warm_up()

    async def start_router(self, name: str) -> None:
        """Start a router and wait until it knows all endpoints."""
        router = await self.fleet.start_router(name, REGION, DOMAINS[0])
        known = len(self.fleet.engines) + len(self.fleet.services)
        await wait_until(
            lambda: len(router.ctx.fleet.list_statuses()) == known
        )

    def open_caller(self, router: str, account: str) -> caller_lib.Caller:
        """Return a client of a router."""
        url = self.fleet.get(router).url
        return caller_lib.Caller(url, f'{account}:secret')

    async def ask(
        self,
        router: str,
        request: str,
        tokens: int,
        stop_after: int | None = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send one chat request and store its answer."""
        sent = caller_lib.make_request_headers(request, f'chat-{request}')
        sent.update(headers or {})
        async with self.open_caller(router, 'hiker') as caller:
            self.answers[request] = await caller.complete_chat(
                MODEL, self.prompt, tokens, sent, stop_after
            )

    async def ask_until_lost(
        self,
        router: str,
        request: str,
        tokens: int,
        received: caller_lib.ChatAnswer,
    ) -> None:
        """Send one chat request and ignore the loss of its connection.

        :param received: filled as the answer arrives.
        """
        headers = caller_lib.make_request_headers(request, f'chat-{request}')
        lost = (httpcore.NetworkError, httpcore.ProtocolError)
        async with self.open_caller(router, 'hiker') as caller:
            with contextlib.suppress(*lost):
                await caller.complete_chat(
                    MODEL, 'zone rules', tokens, headers, answer=received
                )

    async def book(self, router: str, key: str, tag: str = '') -> None:
        """Send a booking and store its answer under `key + tag`."""
        async with self.open_caller(router, 'hiker') as caller:
            self.answers[key + tag] = await caller.call_service(
                PLAIN_SERVICE, 'bookings', '{"hut": 1}', key
            )

    async def run_chat(
        self, router: str, account: str, index: int, tokens: int
    ) -> None:
        """Send the requests of a chat in sequence until the traffic stops."""
        turn = 0
        async with self.open_caller(router, account) as caller:
            while not self.traffic.is_stopped:
                turn += 1
                request = f'{account}-{router}-{index}-{turn}'
                await self._ask_next(caller, request, index, tokens)

    async def _ask_next(
        self,
        caller: caller_lib.Caller,
        request: str,
        index: int,
        tokens: int,
    ) -> None:
        headers = caller_lib.make_request_headers(
            request, f'{request.rsplit("-", 1)[0]}'
        )
        try:
            answer = await caller.complete_chat(
                MODEL, 'zone rules', tokens, headers
            )
        except (httpcore.NetworkError, httpcore.ProtocolError):
            self.traffic.lost_requests.append(request)
            return
        self.traffic.answers[request] = (answer, tokens)
        if answer.problem:
            await trio.sleep(REFUSAL_PAUSE_S)

    async def submit(self, router: str, text: str) -> dict:
        """Submit a patch through a router."""
        url = self.fleet.get(router).admin_url
        return await post(f'{url}/v1/config/patches', text)

    def list_config_numbers(self) -> dict[str, int]:
        """Return the configuration number in force at each node."""
        nodes = {name: self.fleet.get(name) for name in self.list_nodes()}
        return {
            name: node.config.current.number for name, node in nodes.items()
        }

    def list_nodes(self) -> list[str]:
        """Return the names of the running routers and sidecars."""
        return [
            name
            for name in self.fleet.list_names()
            if hasattr(self.fleet.get(name), 'config')
        ]

    def count_runs_in(self, domain: str) -> int:
        """Return how many runs have started in a failure domain."""
        first = DOMAINS.index(domain)
        return sum(
            state.runs.total()
            for states in (self.fleet.engines, self.fleet.services)
            for name, state in states.items()
            if int(name[1:]) % 2 == first
        )

    def count_runs_of(self, name: str) -> int:
        """Return how many runs of a request or booking have started."""
        states = (
            *self.fleet.engines.values(),
            *self.fleet.services.values(),
        )
        return sum(state.runs[name] for state in states)

    def find_busy_endpoint(self) -> str | None:
        """Return an endpoint whose engine is running a request, if any."""
        for name, engine in self.fleet.engines.items():
            if engine.running:
                return name
        return None

    def count_in_flight(self) -> int:
        """Return the number of attempts in flight at plain endpoints."""
        return sum(
            self.fleet.get(name).worker.gate.slow_start.in_flight
            for name in self.list_nodes()
            if name in self.fleet.services
        )


async def wait_until(condition: typing.Callable[[], typing.Any]) -> None:
    """Poll a condition until it is true; the step sets the time-out."""
    while not condition():
        await trio.sleep(POLL_S)


async def post(url: str, body: str = '') -> dict:
    """Send a POST request to the operators' API; return its JSON answer."""
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request('POST', url, content=body.encode())
    return json.loads(response.content)


def make_spec(
    name: str, domain: str, service: str, models: tuple[str, ...] = ()
) -> fleet_lib.EndpointSpec:
    """Return the specification of an endpoint."""
    return fleet_lib.EndpointSpec(name, service, domain, REGION, models)


def make_patch(base: int, name: str, items: str) -> str:
    """Return the text of a patch."""
    return (
        f'[patch]\nbase = {base}\nid = {name}\nauthor = operator\n'
        f'reason = scenario\n{items}\n'
    )


def make_config() -> str:
    """Return the initial configuration: two partners with equal shares."""
    lines = [f'[domain {name}]\nregion = {REGION}' for name in DOMAINS]
    lines += [
        f'[model {MODEL}]',
        f'[service {MODEL_SERVICE}]\nkind = model\nmodels = {MODEL}',
        f'[service {PLAIN_SERVICE}]\nkind = plain\nonce_paths = /bookings',
    ]
    for account, partner in ACCOUNTS.items():
        digest = configuration.digest_credential(f'{account}:secret').hex()
        lines.append(
            f'[partner {partner}]\nshare = 0.5\n[account {account}]\n'
            f'partner = {partner}\ncredential_digest = {digest}'
        )
    return '\n'.join(lines)


def assert_complete(
    answer: caller_lib.ChatAnswer, request: str, tokens: int
) -> None:
    """Assert that an answer is complete and belongs to its request."""
    assert answer.problem == {}, (request, answer.problem)
    assert answer.texts == engine_state.make_tokens(request, tokens)
    assert answer.is_complete
