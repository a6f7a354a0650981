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
DRAINED = 'malli-palvelin-1'
KILLED = 'malli-palvelin-3'
SILENT = 'malli-palvelin-4'
STOPPED_ROUTER = 'router-3'
SETTLE_S = 3.0
POLL_S = 0.02

Say = typing.Callable[[str], None]


@dataclasses.dataclass(slots=True)
class Findings:
    """Measurements taken while the events run.

    :param runs_after_drain: runs started at the drained endpoint more than
        3 s after the drain.
    :param runs_in_domain: runs started in the failure domain more than 3 s
        after it was taken out of service.
    :param in_force_ms: longest time until a patch was in force on all nodes.
    :param patches: number of accepted patches.
    :param raced: outcomes of the two concurrent patches, sorted.
    :param cut_streams: streams that the stopping router did not finish.
    :param answered_while_out: chats answered while the failure domain was
        out of service.
    :param out_s: how long the failure domain was out of service.
    """

    runs_after_drain: int = 0
    runs_in_domain: int = 0
    in_force_ms: float = 0.0
    patches: int = 0
    raced: list[str] = dataclasses.field(default_factory=list)
    cut_streams: int = 0
    answered_while_out: int = 0
    out_s: float = 0.0


class Events:
    """Runs the events in sequence.

    :param fleet: the deployment.
    :param routers: names of the running routers; changed when one stops.
    :param urls: router URLs that callers use; changed when a router stops.
    :param say: prints one progress line.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        routers: list[str],
        urls: list[str],
        say: Say,
    ) -> None:
        self.findings = Findings()
        self._fleet = fleet
        self._routers = routers
        self._urls = urls
        self._say = say

    async def run(self, count_answers: typing.Callable[[], int]) -> None:
        """Run all events.

        :param count_answers: returns the number of chats answered so far.
        """
        await trio.sleep(SETTLE_S)
        await self._drain()
        await self._kill()
        before = count_answers()
        began_s = trio.current_time()
        await self._take_domain_out()
        await self._silence()
        await self._race()
        await self._take_store_down()
        self.findings.out_s = trio.current_time() - began_s
        self.findings.answered_while_out = count_answers() - before
        await self._bring_domain_back()
        await self._replace()
        await self._stop_router()

    async def _drain(self) -> None:
        self._say(f'endpoint {DRAINED} is drained')
        url = self._fleet.get(DRAINED).admin_url
        await _post(f'{url}/v1/drain', '')
        await trio.sleep(SETTLE_S)
        before = self._count_runs([DRAINED])
        await trio.sleep(1.0)
        self.findings.runs_after_drain = self._count_runs([DRAINED]) - before

    async def _kill(self) -> None:
        self._say(f'endpoint {KILLED} and its sidecar are killed')
        await self._fleet.kill_endpoint(KILLED)
        await trio.sleep(1.0)
        self._fleet.members.remove(types.EndpointId(KILLED))
        await trio.sleep(1.0)

    async def _take_domain_out(self) -> None:
        self._say(f'failure domain {DOMAIN} is taken out of service')
        await self._patch('out', _set_domain('out-of-service'))
        await trio.sleep(SETTLE_S)
        self._domain_runs = self._count_runs(self._list_in_domain())

    async def _silence(self) -> None:
        count = self._fleet.networks[SILENT].silence_open()
        self._say(f'{count} open connections to {SILENT} go silent')
        await trio.sleep(SETTLE_S)

    async def _race(self) -> None:
        self._say('two operators submit patches with the same base')
        base = self._read_number()
        outcomes: list[dict] = []

        async def submit(name: str) -> None:
            text = _make_patch(base, name, '[model metsa-kieli]\nversion = 2')
            outcomes.append(await self._submit(text))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit, 'race-a')
            nursery.start_soon(submit, 'race-b')
        self.findings.raced = sorted(item['outcome'] for item in outcomes)
        self.findings.patches += self.findings.raced.count('accepted')
        await self._wait_in_force(base + 1)

    async def _take_store_down(self) -> None:
        self._say('the store is down for 4 s')
        self._fleet.store.take_down()
        await trio.sleep(4.0)
        self._fleet.store.bring_up()
        runs = self._count_runs(self._list_in_domain())
        self.findings.runs_in_domain = runs - self._domain_runs

    async def _bring_domain_back(self) -> None:
        self._say(f'failure domain {DOMAIN} is returned to service')
        await self._patch('back', _set_domain('in-service'))
        await trio.sleep(SETTLE_S)

    async def _replace(self) -> None:
        self._say(f'endpoint {KILLED} is replaced by a cold one')
        spec = next(
            item
            for item in deployment.list_endpoints()
            if item.endpoint == KILLED
        )
        await self._fleet.start_endpoint(spec, deployment.ENGINE)
        await trio.sleep(SETTLE_S)

    async def _stop_router(self) -> None:
        self._say(f'{STOPPED_ROUTER} is stopped with streams in flight')
        context = self._fleet.get(STOPPED_ROUTER).ctx
        self._urls.remove(self._fleet.get(STOPPED_ROUTER).url)
        self._routers.remove(STOPPED_ROUTER)
        cut_before = context.metrics.counters['failed_shutting_down']
        await self._fleet.stop(STOPPED_ROUTER)
        self.findings.cut_streams = (
            context.metrics.counters['failed_shutting_down'] - cut_before
        )
        await trio.sleep(1.0)

    async def _patch(self, name: str, items: str) -> None:
        base = self._read_number()
        answer = await self._submit(_make_patch(base, name, items))
        if answer['outcome'] != 'accepted':
            raise RuntimeError(f'expected an accepted patch, got {answer}')
        self.findings.patches += 1
        await self._wait_in_force(base + 1)

    async def _submit(self, text: str) -> dict:
        url = self._fleet.get(self._routers[0]).admin_url
        return (await _post(f'{url}/v1/config/patches', text)).json

    async def _wait_in_force(self, number: int) -> None:
        began_s = trio.current_time()
        while min(self.list_numbers()) < number:
            await trio.sleep(POLL_S)
        took_ms = (trio.current_time() - began_s) * types.SECOND_MS
        self.findings.in_force_ms = max(self.findings.in_force_ms, took_ms)
        self._say(
            f'number {number} in force on all nodes after {took_ms:.0f} ms'
        )

    def list_numbers(self) -> list[int]:
        """Return the configuration number in force at each node."""
        return [
            node.config.current.number
            for node in map(self._fleet.get, self._fleet.list_names())
            if hasattr(node, 'config')
        ]

    def _read_number(self) -> int:
        return max(self.list_numbers())

    def _list_in_domain(self) -> list[str]:
        return [
            spec.endpoint
            for spec in deployment.list_endpoints()
            if spec.domain == DOMAIN
        ]

    def _count_runs(self, endpoints: list[str]) -> int:
        """Return the number of runs started at some endpoints.

        A run that was paused and continued counts once.
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


def _set_domain(state: str) -> str:
    return f'[domain {DOMAIN}]\nregion = pohjola\nstate = {state}'


def _make_patch(base: int, name: str, items: str) -> str:
    return (
        f'[patch]\nbase = {base}\nid = {name}-{base}\nauthor = demo\n'
        f'reason = demonstration\n{items}\n'
    )
