"""Faults and configuration changes that the demo injects."""

import dataclasses
import json
import typing

import httpcore
import trio

from foxtailpick.core import types
from foxtailpick.demo import deployment
from foxtailpick.standins import fleet as fleet_lib

DOMAIN = types.FailureDomainId('alue-kaksi')
DRAINED_ENDPOINT = 'malli-palvelin-1'
KILLED_ENDPOINT = 'malli-palvelin-3'
SILENCED_ENDPOINT = 'malli-palvelin-4'
STOPPED_ROUTER = 'router-3'
SETTLE_S = 3.0
POLL_S = 0.02

PrintLine = typing.Callable[[str], None]


@dataclasses.dataclass(slots=True)
class EventResults:
    """Measurements taken while the events run.

    :param runs_after_drain: runs started at the drained endpoint more than
        3 s after the drain.
    :param runs_in_domain: runs started in the failure domain more than 3 s
        after it was taken out of service.
    :param max_in_force_ms: longest time until a patch was in force on all
        nodes.
    :param accepted_patches: number of accepted patches.
    :param race_outcomes: outcomes of the two concurrent patches, sorted.
    :param cut_streams: streams that the stopping router did not finish.
    :param chats_while_domain_out: chats answered while the failure domain was
        out of service.
    :param domain_out_s: how long the failure domain was out of service.
    """

    runs_after_drain: int = 0
    runs_in_domain: int = 0
    max_in_force_ms: float = 0.0
    accepted_patches: int = 0
    race_outcomes: list[str] = dataclasses.field(default_factory=list)
    cut_streams: int = 0
    chats_while_domain_out: int = 0
    domain_out_s: float = 0.0


class Events:
    """Runs the events in sequence.

    :param fleet: the deployment.
    :param routers: names of the running routers; changed when one stops.
    :param urls: router URLs that callers use; changed when a router stops.
    :param print_line: prints one progress line.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        routers: list[str],
        urls: list[str],
        print_line: PrintLine,
    ) -> None:
        self.results = EventResults()
        self._fleet = fleet
        self._routers = routers
        self._urls = urls
        self._print_line = print_line

    async def run(self, count_answers: typing.Callable[[], int]) -> None:
        """Run all events.

        :param count_answers: returns the number of chats answered so far.
        """
        await trio.sleep(SETTLE_S)
        await self._drain_endpoint()
        await self._kill_endpoint()
        before = count_answers()
        began_s = trio.current_time()
        await self._take_domain_out()
        await self._silence_connections()
        await self._race_patches()
        await self._take_store_down()
        self.results.domain_out_s = trio.current_time() - began_s
        self.results.chats_while_domain_out = count_answers() - before
        await self._return_domain()
        await self._replace_endpoint()
        await self._stop_router()

    async def _drain_endpoint(self) -> None:
        self._print_line(f'endpoint {DRAINED_ENDPOINT} is drained')
        url = self._fleet.get(DRAINED_ENDPOINT).admin_url
        await _post(f'{url}/v1/drain', '')
        await trio.sleep(SETTLE_S)
        before = self._count_runs([DRAINED_ENDPOINT])
        await trio.sleep(1.0)
        self.results.runs_after_drain = (
            self._count_runs([DRAINED_ENDPOINT]) - before
        )

    async def _kill_endpoint(self) -> None:
        self._print_line(
            f'endpoint {KILLED_ENDPOINT} and its sidecar are killed'
        )
        await self._fleet.kill_endpoint(KILLED_ENDPOINT)
        await trio.sleep(1.0)
        self._fleet.members.remove(types.EndpointId(KILLED_ENDPOINT))
        await trio.sleep(1.0)

    async def _take_domain_out(self) -> None:
        self._print_line(f'failure domain {DOMAIN} is taken out of service')
        await self._apply_patch('out', _format_domain('out-of-service'))
        await trio.sleep(SETTLE_S)
        self._domain_runs_before = self._count_runs(
            self._list_domain_endpoints()
        )

    async def _silence_connections(self) -> None:
        count = self._fleet.networks[
            SILENCED_ENDPOINT
        ].silence_open_connections()
        self._print_line(
            f'{count} open connections to {SILENCED_ENDPOINT} go silent'
        )
        await trio.sleep(SETTLE_S)

    async def _race_patches(self) -> None:
        self._print_line('two operators submit patches with the same base')
        base = self._get_newest_number()
        outcomes: list[dict] = []

        async def submit(name: str) -> None:
            text = _make_patch(base, name, '[model metsa-kieli]\nversion = 2')
            outcomes.append(await self._submit_patch(text))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit, 'race-a')
            nursery.start_soon(submit, 'race-b')
        self.results.race_outcomes = sorted(
            item['outcome'] for item in outcomes
        )
        self.results.accepted_patches += self.results.race_outcomes.count(
            'accepted'
        )
        await self._wait_in_force(base + 1)

    async def _take_store_down(self) -> None:
        self._print_line('the store is down for 4 s')
        self._fleet.store.take_down()
        await trio.sleep(4.0)
        self._fleet.store.bring_up()
        runs = self._count_runs(self._list_domain_endpoints())
        self.results.runs_in_domain = runs - self._domain_runs_before

    async def _return_domain(self) -> None:
        self._print_line(f'failure domain {DOMAIN} is returned to service')
        await self._apply_patch('back', _format_domain('in-service'))
        await trio.sleep(SETTLE_S)

    async def _replace_endpoint(self) -> None:
        self._print_line(
            f'endpoint {KILLED_ENDPOINT} is replaced by a cold one'
        )
        spec = next(
            item
            for item in deployment.list_endpoints()
            if item.endpoint == KILLED_ENDPOINT
        )
        await self._fleet.start_endpoint(spec, deployment.ENGINE)
        await trio.sleep(SETTLE_S)

    async def _stop_router(self) -> None:
        self._print_line(f'{STOPPED_ROUTER} is stopped with streams in flight')
        context = self._fleet.get(STOPPED_ROUTER).ctx
        self._urls.remove(self._fleet.get(STOPPED_ROUTER).url)
        self._routers.remove(STOPPED_ROUTER)
        cut_before = context.metrics.counters['failed_shutting_down']
        await self._fleet.stop(STOPPED_ROUTER)
        self.results.cut_streams = (
            context.metrics.counters['failed_shutting_down'] - cut_before
        )
        await trio.sleep(1.0)

    async def _apply_patch(self, name: str, items: str) -> None:
        base = self._get_newest_number()
        answer = await self._submit_patch(_make_patch(base, name, items))
        if answer['outcome'] != 'accepted':
            raise RuntimeError(f'expected an accepted patch, got {answer}')
        self.results.accepted_patches += 1
        await self._wait_in_force(base + 1)

    async def _submit_patch(self, text: str) -> dict:
        url = self._fleet.get(self._routers[0]).admin_url
        return (await _post(f'{url}/v1/config/patches', text)).json

    async def _wait_in_force(self, number: int) -> None:
        began_s = trio.current_time()
        while min(self.list_config_numbers()) < number:
            await trio.sleep(POLL_S)
        elapsed_ms = (trio.current_time() - began_s) * types.SECOND_MS
        self.results.max_in_force_ms = max(
            self.results.max_in_force_ms, elapsed_ms
        )
        self._print_line(
            f'number {number} in force on all nodes after {elapsed_ms:.0f} ms'
        )

    def list_config_numbers(self) -> list[int]:
        """Return the configuration number in force at each node."""
        return [
            node.config.current.number
            for node in map(self._fleet.get, self._fleet.list_names())
            if hasattr(node, 'config')
        ]

    def _get_newest_number(self) -> int:
        return max(self.list_config_numbers())

    def _list_domain_endpoints(self) -> list[str]:
        return [
            spec.endpoint
            for spec in deployment.list_endpoints()
            if spec.domain == DOMAIN
        ]

    def _count_runs(self, endpoints: list[str]) -> int:
        """Return the number of requests started at some endpoints.

        A request that was paused and continued counts once.
        """
        engines = self._fleet.engines
        services = self._fleet.services
        return sum(
            len(engines[name].runs)
            if name in engines
            else len(services[name].runs)
            for name in endpoints
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    json: dict


async def _post(url: str, body: str) -> _Reply:
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request('POST', url, content=body.encode())
    return _Reply(response.status, json.loads(response.content))


def _format_domain(state: str) -> str:
    return f'[domain {DOMAIN}]\nregion = pohjola\nstate = {state}'


def _make_patch(base: int, name: str, items: str) -> str:
    return (
        f'[patch]\nbase = {base}\nid = {name}-{base}\nauthor = demo\n'
        f'reason = demonstration\n{items}\n'
    )
