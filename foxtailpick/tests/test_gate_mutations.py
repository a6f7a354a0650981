"""Mutation tests of the gate: an invariant detects each missing check."""

import dataclasses
import types as types_lib

import pytest

from foxtailpick.core import account_table
from foxtailpick.core import configuration
from foxtailpick.core import errors
from foxtailpick.core import invariants
from foxtailpick.core import load_bound
from foxtailpick.core import mean_estimate
from foxtailpick.core import messages
from foxtailpick.core import propagation
from foxtailpick.core import settings
from foxtailpick.core import slow_start
from foxtailpick.core import types
from foxtailpick.sidecar import gate as gate_lib
from foxtailpick.tests import scenario_harness

OUT = '[domain alue-yksi]\nregion = pohjola\nstate = out-of-service'


def make_configuration(is_out):
    text = scenario_harness.make_config()
    if is_out:
        text = text.replace('[domain alue-yksi]\nregion = pohjola', OUT)
    cfg = configuration.Configuration.from_ini(text)
    accounts = account_table.AccountTable.from_mapping(cfg.accounts)
    return dataclasses.replace(cfg, accounts=accounts)


@pytest.fixture
def node():
    return types_lib.SimpleNamespace(
        current=make_configuration(is_out=False),
        check_admission=lambda: propagation.AdmissionCheck.ADMIT,
    )


@pytest.fixture
def gate(monitor, node):
    cfg = settings.SidecarSettings(
        node=settings.NodeSettings('m0', 'pohjola', 'alue-yksi'),
        listen=settings.ListenSettings('127.0.0.1', 0),
        store=settings.StoreSettings(('http://127.0.0.1:1',)),
        membership=settings.MembershipSettings('http://127.0.0.1:1'),
        endpoint=settings.EndpointSettings(
            'malli-palvelin',
            types.EndpointKind.MODEL,
            'http://127.0.0.1:1',
            ('malli',),
        ),
        limits=settings.LimitSettings(),
    )
    return gate_lib.Gate.from_settings(cfg, 'i1', monitor, node)


def make_work(attempt):
    return messages.OpenChat(
        attempt=attempt,
        request=attempt,
        account='hiker',
        chat='c',
        model='malli',
        priority=types.Priority.NORMAL,
        deadline_ms=30_000.0,
        prompt_tokens=10,
        max_tokens=10,
        mean_load=None,
        resume_from=0,
        candidates=(),
        body=b'{}',
    )


def skip_checks(patch):
    patch.setattr(gate_lib.Gate, '_check_may_run', lambda self, work: None)


def ignore_drain(patch):
    skip_checks(patch)
    patch.setattr(slow_start.SlowStart, 'limit', lambda self, now_ms: 16)


def take_domain_out(gate, node):
    node.current = make_configuration(is_out=True)


def drain(gate, node):
    gate.slow_start.drain()


@pytest.mark.parametrize('is_mutated', [True, False])
@pytest.mark.parametrize(
    ('mutate', 'close', 'invariant'),
    [
        (skip_checks, take_domain_out, invariants.Invariant.DOMAIN_OUT),
        (ignore_drain, drain, invariants.Invariant.LEAVING),
    ],
)
async def test_start_on_a_closed_endpoint_is_a_violation(
    monkeypatch, monitor, gate, node, mutate, close, invariant, is_mutated
):
    gate.admit(make_work('a'), 0.0, 0.0)
    close(gate, node)
    if not is_mutated:
        assert gate.pop_ready(0.0) is None
        return
    mutate(monkeypatch)
    with pytest.raises(errors.InvariantError):
        gate.pop_ready(0.0)
    assert monitor.violated[invariant] == 1


def test_start_above_the_slow_start_limit_is_a_violation(monitor):
    limiter = slow_start.SlowStart.from_options(
        slow_start.SlowStartOptions(), monitor
    )
    limiter.on_started(0.0)
    with pytest.raises(errors.InvariantError):
        limiter.on_started(0.0)
    assert monitor.violated[invariants.Invariant.SLOW_START] == 1


@pytest.mark.parametrize('is_mutated', [True, False])
def test_missing_load_bound_is_a_violation(monkeypatch, monitor, is_mutated):
    bound = load_bound.LoadBound(
        'm0', 1.0, monitor, load_bound.LoadBoundSettings()
    )
    mean = bound.set_pool(None, 10.0)
    idle = mean_estimate.LoadSample('m1', 0.0, 1.0, 0.0)
    mean.observe(mean_estimate.PeerLoadReport(idle, 0.0, 0.0), 0.0)
    cost = load_bound.FLOOR_TOKENS / 4
    for number in range(5):
        assert bound.admit(f'a-{number}', None, cost, 0.0).is_admitted
    if not is_mutated:
        assert not bound.admit('b', None, cost, 0.0).is_admitted
        return
    unlimited = property(lambda self: 1_000.0)
    monkeypatch.setattr(
        load_bound.LoadBoundSettings, 'admit_multiple', unlimited
    )
    with pytest.raises(errors.InvariantError):
        bound.admit('b', None, cost, 0.0)
    assert monitor.violated[invariants.Invariant.LOAD_BOUND] == 1
