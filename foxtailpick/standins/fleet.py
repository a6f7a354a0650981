"""A complete deployment in one process, over loopback sockets.

The stand-ins of the platform, engines, plain services, sidecars and routers
each run in a task of their own and can be stopped individually.
"""

import contextlib
import dataclasses
import typing

import trio

from foxtailpick.adapters import base
from foxtailpick.adapters import etcd
from foxtailpick.core import clock as clock_lib
from foxtailpick.core import config_store
from foxtailpick.core import config_writer
from foxtailpick.core import configuration
from foxtailpick.core import invariants
from foxtailpick.core import settings
from foxtailpick.core import types
from foxtailpick.node import http_server
from foxtailpick.router import daemon as router_daemon
from foxtailpick.sidecar import daemon as sidecar_daemon
from foxtailpick.standins import engine
from foxtailpick.standins import engine_state
from foxtailpick.standins import etcd_server
from foxtailpick.standins import keyvalue
from foxtailpick.standins import membership
from foxtailpick.standins import network
from foxtailpick.standins import service

LOOPBACK = '127.0.0.1'
GRACE_MS = 200.0
MEMBERS_INTERVAL_MS = 200.0
PREFIX = '/foxtailpick/'


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointSpec:
    """Specification of an endpoint.

    :param endpoint: its id.
    :param service: its service.
    :param domain: its failure domain.
    :param region: its region.
    :param models: its models, empty for a plain service.
    :param max_running: capacity in concurrent requests when warm.
    """

    endpoint: types.EndpointId
    service: types.ServiceId
    domain: types.FailureDomainId
    region: types.RegionId
    models: tuple[types.ModelId, ...] = ()
    max_running: int = 16

    @property
    def kind(self) -> types.EndpointKind:
        """Whether it is a model engine or a plain service."""
        if self.models:
            return types.EndpointKind.MODEL
        return types.EndpointKind.PLAIN


@dataclasses.dataclass(slots=True)
class _Component:
    value: typing.Any = None
    scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )
    stop: trio.Event = dataclasses.field(default_factory=trio.Event)
    done: trio.Event = dataclasses.field(default_factory=trio.Event)


class Fleet:
    """A running deployment; created by `open_fleet`.

    :param nursery: runs the tasks of its components.
    :param limits: limits of all routers and sidecars.
    :param monitor: checks the invariants of all routers and sidecars.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        limits: settings.LimitSettings,
        monitor: invariants.Monitor,
    ) -> None:
        clock = clock_lib.Clock.from_trio()
        self.monitor = monitor
        self.store = keyvalue.KeyValueState(clock.now)
        self.members = membership.MembershipState(clock)
        self.engines: dict[str, engine_state.EngineState] = {}
        self.services: dict[str, service.ServiceState] = {}
        self.networks: dict[str, network.Network] = {}
        self.store_url = ''
        self._nursery = nursery
        self._limits = limits
        self._components: dict[str, _Component] = {}
        self._specs: dict[str, EndpointSpec] = {}
        self._endpoint_urls: dict[str, str] = {}
        self.members_url = ''

    async def start_platform(self, cfg: configuration.Configuration) -> None:
        """Start the store and the membership list; store a configuration.

        :param cfg: the initial configuration.
        """
        self.store_url = await self.serve(
            'store', etcd_server.make_app(self.store)
        )
        self.members_url = await self.serve(
            'members', membership.make_app(self.members)
        )
        async with etcd.EtcdKeyValue((self.store_url,), 2_000.0) as kv:
            writer = config_writer.ConfigWriter(
                kv,
                clock_lib.Clock.from_wall(),
                None,
                config_store.Keys(PREFIX),
            )
            await writer.create(cfg)

    async def start_endpoint(
        self,
        spec: EndpointSpec,
        engine_settings: engine_state.EngineSettings | None = None,
    ) -> None:
        """Start an endpoint and its sidecar, and list the instance.

        :param spec: the endpoint.
        :param engine_settings: settings of a model engine stand-in.
        """
        self._specs[spec.endpoint] = spec
        if spec.kind is types.EndpointKind.MODEL:
            state = engine_state.EngineState(engine_settings)
            self.engines[spec.endpoint] = state
            app = engine.make_app(state)
        else:
            self.services[spec.endpoint] = service.ServiceState()
            app = service.make_app(self.services[spec.endpoint])
        url = await self.serve(f'endpoint/{spec.endpoint}', app)
        self._endpoint_urls[spec.endpoint] = url
        await self.start_sidecar(spec.endpoint)

    async def start_sidecar(self, endpoint: str) -> sidecar_daemon.Sidecar:
        """Start a sidecar, or a replacement for one, and list it."""
        spec = self._specs[endpoint]
        cfg = self.make_sidecar_settings(endpoint)
        sidecar = await self._start(
            endpoint, sidecar_daemon.open_sidecar(cfg, self.monitor)
        )
        if endpoint not in self.networks:
            self.networks[endpoint] = await self._start(
                f'network/{endpoint}', network.open_network(sidecar.address)
            )
        self.networks[endpoint].target = sidecar.address
        self.members.put(
            base.Member(
                endpoint=spec.endpoint,
                incarnation=sidecar.incarnation,
                address=self.networks[endpoint].address,
                region=spec.region,
                domain=spec.domain,
                service=spec.service,
            )
        )
        return sidecar

    async def start_router(
        self, name: str, region: str, domain: str
    ) -> router_daemon.Router:
        """Start a router and wait until it is ready."""
        cfg = self._make_router_settings(name, region, domain)
        router = await self._start(
            name, router_daemon.open_router(cfg, self.monitor)
        )
        await router.config.loaded.wait()
        await router.ctx.fleet.loaded.wait()
        return router

    def list_names(self) -> list[str]:
        """Return the names of the running components."""
        return list(self._components)

    def get(self, name: str) -> typing.Any:
        """Return a running sidecar or router."""
        return self._components[name].value

    async def kill(self, name: str) -> None:
        """Terminate a component abruptly, as SIGKILL does."""
        component = self._components.pop(name)
        component.scope.cancel()
        await component.done.wait()

    async def stop(self, name: str) -> None:
        """Shut a component down gracefully, as SIGTERM does."""
        component = self._components.pop(name)
        component.stop.set()
        await component.done.wait()

    async def kill_endpoint(self, endpoint: str) -> None:
        """Terminate an endpoint and its sidecar abruptly."""
        await self.kill(endpoint)
        await self.kill(f'endpoint/{endpoint}')

    async def serve(self, name: str, app: typing.Any) -> str:
        """Serve an application and return its base URL.

        :param name: name of the component, for `kill` and `stop`.
        :param app: the ASGI application.
        """
        manager = http_server.serve_app(app, LOOPBACK, 0, GRACE_MS)
        return await self._start(name, manager)

    async def _start(
        self, name: str, manager: typing.AsyncContextManager
    ) -> typing.Any:
        async def run_component(task_status: trio.TaskStatus) -> None:
            component = _Component()
            try:
                with component.scope:
                    async with manager as value:
                        component.value = value
                        task_status.started(component)
                        await component.stop.wait()
            finally:
                component.done.set()

        self._components[name] = await self._nursery.start(run_component)
        return self._components[name].value

    def _make_store_settings(self) -> settings.StoreSettings:
        return settings.StoreSettings((self.store_url,), PREFIX)

    def make_sidecar_settings(self, endpoint: str) -> settings.SidecarSettings:
        """Return the settings of the sidecar of an endpoint.

        :param endpoint: an endpoint that has been started.
        """
        spec = self._specs[endpoint]
        return settings.SidecarSettings(
            node=settings.NodeSettings(
                spec.endpoint, spec.region, spec.domain
            ),
            listen=settings.ListenSettings(LOOPBACK, 0),
            store=self._make_store_settings(),
            membership=settings.MembershipSettings(
                self.members_url, MEMBERS_INTERVAL_MS
            ),
            endpoint=settings.EndpointSettings(
                spec.service,
                spec.kind,
                self._endpoint_urls[spec.endpoint],
                spec.models,
                max_running=spec.max_running,
            ),
            limits=self._limits,
        )

    def _make_router_settings(
        self, name: str, region: str, domain: str
    ) -> settings.RouterSettings:
        return settings.RouterSettings(
            node=settings.NodeSettings(name, region, domain),
            listen=settings.ListenSettings(LOOPBACK, 0),
            store=self._make_store_settings(),
            membership=settings.MembershipSettings(
                self.members_url, MEMBERS_INTERVAL_MS
            ),
            limits=self._limits,
        )


@contextlib.asynccontextmanager
async def open_fleet(
    cfg: configuration.Configuration,
    monitor: invariants.Monitor,
    limits: settings.LimitSettings | None = None,
) -> typing.AsyncIterator[Fleet]:
    """Run the platform of a deployment until the context exits.

    :param cfg: the initial configuration.
    :param monitor: checks the invariants of all routers and sidecars.
    :param limits: limits of all routers and sidecars.
    """
    failure = None
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, limits or settings.LimitSettings(), monitor)
        await fleet.start_platform(cfg)
        # An exception of the body is raised outside the nursery, so that it
        # is not wrapped in an exception group.
        try:
            yield fleet
        except Exception as exc:
            failure = exc
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
