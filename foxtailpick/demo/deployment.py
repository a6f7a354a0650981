"""The deployment of the demo: the one in `examples/permit`."""

import importlib.resources

from foxtailpick.core import configuration
from foxtailpick.core import types
from foxtailpick.standins import engine_state
from foxtailpick.standins import fleet as fleet_lib

REGION = types.RegionId('pohjola')
DOMAINS = ('alue-yksi', 'alue-kaksi', 'alue-kolme')
MODEL = 'metsa-kieli'
MODEL_SERVICE = 'malli-palvelin'
PLAIN_SERVICE = 'lupa-sovellus'
MODEL_ENDPOINTS = 10
PLAIN_ENDPOINTS = 3
SECRET = 'example-secret'

ENGINE = engine_state.EngineSettings(
    warm_limit=32,
    cold_limit=6,
    token_ms=6.0,
    token_batch_ms=0.2,
    prefill_token_ms=0.1,
)


def load_configuration() -> configuration.Configuration:
    """Return the initial configuration of the deployment."""
    root = importlib.resources.files('foxtailpick')
    path = root / 'examples' / 'permit' / 'config.ini'
    return configuration.Configuration.from_ini(path.read_text('utf-8'))


def list_endpoints() -> list[fleet_lib.EndpointSpec]:
    """Return the specifications of all endpoints."""
    models = [
        _make_spec(MODEL_SERVICE, index, (types.ModelId(MODEL),))
        for index in range(MODEL_ENDPOINTS)
    ]
    plain = [
        _make_spec(PLAIN_SERVICE, index, ())
        for index in range(PLAIN_ENDPOINTS)
    ]
    return models + plain


def make_credential(account: str) -> str:
    """Return the example credential of a client account."""
    return f'{account}:{SECRET}'


def _make_spec(
    service: str, index: int, models: tuple[types.ModelId, ...]
) -> fleet_lib.EndpointSpec:
    return fleet_lib.EndpointSpec(
        endpoint=types.EndpointId(f'{service}-{index + 1}'),
        service=types.ServiceId(service),
        domain=types.FailureDomainId(DOMAINS[index % len(DOMAINS)]),
        region=REGION,
        models=models,
    )
