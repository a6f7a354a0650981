"""The numbered configuration that operators maintain.

A configuration is immutable: a patch creates the next one.
"""

import dataclasses
import hashlib
import hmac
import math
import typing

from foxtailpick.core import config_ini
from foxtailpick.core import types

SHARE_TOLERANCE = 1e-6
DIGEST_HEX_CHARS = 64
CREDENTIAL_DELIMITER = ':'


@dataclasses.dataclass(frozen=True, slots=True)
class DomainConfig:
    """A failure domain.

    :param domain: its id.
    :param region: the region that contains it.
    :param state: whether it may receive new work.
    """

    domain: types.FailureDomainId
    region: types.RegionId
    state: types.DomainState = types.DomainState.IN_SERVICE


@dataclasses.dataclass(frozen=True, slots=True)
class PartnerConfig:
    """A partner and its share of the fleet and of the cost.

    :param partner: its id.
    :param share: fraction of the fleet; the shares of all partners add up
        to one.
    """

    partner: types.PartnerId
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class AccountConfig:
    """A client account.

    :param account: its id.
    :param partner: the partner it belongs to.
    :param credential_digest: `digest_credential` of its credential.
    :param share: weight among the accounts of its partner, above zero.
    :param endpoints: endpoints that it may use, all if empty.
    :param priority: scheduling class of its requests.
    """

    account: types.AccountId
    partner: types.PartnerId
    credential_digest: bytes
    share: float = 1.0
    endpoints: frozenset[types.EndpointId] = frozenset()
    priority: types.Priority = types.Priority.NORMAL

    def may_use_endpoint(self, endpoint: types.EndpointId) -> bool:
        """Tell whether the account may use an endpoint."""
        return not self.endpoints or endpoint in self.endpoints


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConfig:
    """A service that endpoints offer.

    :param service: its id.
    :param kind: kind of its endpoints.
    :param models: models that its endpoints serve, none for a plain service.
    :param once_paths: path prefixes of calls that are not idempotent.
    :param checks_fencing: whether its endpoints refuse an order with an
        outdated fencing number.
    """

    service: types.ServiceId
    kind: types.EndpointKind
    models: frozenset[types.ModelId] = frozenset()
    once_paths: frozenset[str] = frozenset()
    checks_fencing: bool = False

    def is_idempotent_path(self, path: str) -> bool:
        """Tell whether calls to a path may be retried."""
        return not any(path.startswith(item) for item in self.once_paths)


@dataclasses.dataclass(frozen=True, slots=True)
class ModelConfig:
    """A model.

    :param model: its id.
    :param version: the version in use.
    :param adapters: adapters that may be loaded for it.
    """

    model: types.ModelId
    version: str = '1'
    adapters: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The complete configuration under one number.

    :param number: zero before the first configuration; each accepted patch
        increments it.
    :param domains: failure domains by id.
    :param partners: partners by id.
    :param accounts: client accounts by id.
    :param services: services by id.
    :param models: models by id.
    """

    number: types.ConfigNumber = types.ConfigNumber(0)
    domains: typing.Mapping[types.FailureDomainId, DomainConfig] = (
        dataclasses.field(default_factory=dict)
    )
    partners: typing.Mapping[types.PartnerId, PartnerConfig] = (
        dataclasses.field(default_factory=dict)
    )
    accounts: typing.Mapping[types.AccountId, AccountConfig] = (
        dataclasses.field(default_factory=dict)
    )
    services: typing.Mapping[types.ServiceId, ServiceConfig] = (
        dataclasses.field(default_factory=dict)
    )
    models: typing.Mapping[types.ModelId, ModelConfig] = dataclasses.field(
        default_factory=dict
    )

    @classmethod
    def from_ini(cls, text: str, number: int = 1) -> 'Configuration':
        """Parse and validate a complete configuration from INI text.

        :param text: sections such as `[domain kandy-a]`.
        :param number: number of the configuration.
        :raises errors.PatchError: if the text is malformed or invalid.
        """
        items: dict[str, dict[str, typing.Any]] = {
            attribute: {} for attribute in ATTRIBUTES.values()
        }
        for section in config_ini.read_sections(text):
            kind = find_kind(section)
            item = config_ini.build_item(kind, section)
            items[ATTRIBUTES[kind.name]][section.name] = item
        cfg = cls(types.ConfigNumber(number), **items)
        check_whole(cfg)
        return cfg

    def to_ini(self) -> str:
        """Render the complete configuration as INI text."""
        return '\n'.join(
            config_ini.render_item(kind, name, item)
            for kind in KINDS
            for name, item in sorted(
                getattr(self, ATTRIBUTES[kind.name]).items()
            )
        )

    def is_domain_in_service(self, domain: types.FailureDomainId) -> bool:
        """Tell whether a failure domain may receive new work.

        A domain that is not listed may not: operators put a domain into
        service by name, and removing an entry must not admit work that its
        state kept out.
        """
        found = self.domains.get(domain)
        return (
            found is not None and found.state is types.DomainState.IN_SERVICE
        )

    def find_account_by_credential(
        self, credential: str
    ) -> AccountConfig | None:
        """Return the account that a credential authenticates, or None.

        :param credential: `ACCOUNT:SECRET`, as the caller sent it. It names
            its account, so that no index over all digests is needed.
        """
        name, delimiter, _ = credential.partition(CREDENTIAL_DELIMITER)
        if not delimiter:
            return None
        account = self.accounts.get(types.AccountId(name))
        if account is None:
            return None
        digest = digest_credential(credential)
        if not hmac.compare_digest(digest, account.credential_digest):
            return None
        return account


def digest_credential(credential: str) -> bytes:
    """Return the digest under which a credential is stored.

    The secret must be long and random, because the hash is a fast one.

    :param credential: `ACCOUNT:SECRET`.
    """
    return hashlib.sha256(credential.encode()).digest()


def find_kind(section: config_ini.Section) -> config_ini.Kind:
    """Return the kind of a section.

    :raises errors.PatchError: if there is no such kind.
    """
    if section.kind in KINDS_BY_NAME:
        return KINDS_BY_NAME[section.kind]
    expected = f'one of {", ".join(KINDS_BY_NAME)}'
    raise config_ini.make_error(section.title, 'kind', expected, section.kind)


def check_account(cfg: Configuration, account: AccountConfig) -> None:
    """Check the references of one account.

    :raises errors.PatchError: if its partner is not listed.
    """
    if account.partner not in cfg.partners:
        raise config_ini.make_error(
            f'[account {account.account}]',
            'partner',
            'a listed partner',
            account.partner,
        )


def check_shared(cfg: Configuration) -> None:
    """Check all items but the accounts.

    :raises errors.PatchError: if shares or references are inconsistent.
    """
    _check_partner_shares(cfg)
    for service in cfg.services.values():
        _check_service(cfg, service)


def check_whole(cfg: Configuration) -> None:
    """Check a complete configuration.

    :raises errors.PatchError: for the first error found.
    """
    check_shared(cfg)
    for account in cfg.accounts.values():
        check_account(cfg, account)


def _check_partner_shares(cfg: Configuration) -> None:
    if not cfg.partners:
        return
    total = math.fsum(partner.share for partner in cfg.partners.values())
    if abs(total - 1.0) <= SHARE_TOLERANCE:
        return
    listed = ', '.join(sorted(cfg.partners))
    raise config_ini.make_error(
        f'[partner {listed}]',
        'share',
        'shares that add up to 1',
        f'{total:.6g}',
    )


def _check_service(cfg: Configuration, service: ServiceConfig) -> None:
    title = f'[service {service.service}]'
    is_model = service.kind is types.EndpointKind.MODEL
    if is_model != bool(service.models):
        expected = 'models for kind model, none for kind plain'
        actual = config_ini.render_names(service.models)
        raise config_ini.make_error(title, 'models', expected, actual)
    for model in sorted(service.models):
        if model not in cfg.models:
            raise config_ini.make_error(
                title, 'models', 'listed models', model
            )


def _parse_digest(text: str) -> bytes:
    if len(text) != DIGEST_HEX_CHARS:
        raise ValueError('wrong length')
    return bytes.fromhex(text)


def _parse_priority(text: str) -> types.Priority:
    return types.Priority[text.upper()]


def _render_priority(priority: types.Priority) -> str:
    return priority.name.lower()


def _render_member(member: typing.Any) -> str:
    return member.value


def _make_names_field(name: str) -> config_ini.Field:
    return config_ini.Field(
        name,
        'names separated by commas',
        config_ini.parse_names,
        config_ini.render_names,
        frozenset(),
        unpack=frozenset,
    )


_DOMAIN = config_ini.Kind(
    'domain',
    DomainConfig,
    (
        config_ini.Field('region', 'a region', config_ini.parse_text, str),
        config_ini.Field(
            'state',
            'in-service or out-of-service',
            types.DomainState,
            _render_member,
            types.DomainState.IN_SERVICE,
            unpack=types.DomainState,
        ),
    ),
)
_PARTNER = config_ini.Kind(
    'partner',
    PartnerConfig,
    (
        config_ini.Field(
            'share', 'a number above 0', config_ini.parse_positive, repr
        ),
    ),
)
_ACCOUNT = config_ini.Kind(
    'account',
    AccountConfig,
    (
        config_ini.Field('partner', 'a partner', config_ini.parse_text, str),
        config_ini.Field(
            'credential_digest',
            f'{DIGEST_HEX_CHARS} hexadecimal digits',
            _parse_digest,
            bytes.hex,
        ),
        config_ini.Field(
            'share', 'a number above 0', config_ini.parse_positive, repr, 1.0
        ),
        _make_names_field('endpoints'),
        config_ini.Field(
            'priority',
            'urgent, normal or batch',
            _parse_priority,
            _render_priority,
            types.Priority.NORMAL,
            unpack=types.Priority,
        ),
    ),
)
_SERVICE = config_ini.Kind(
    'service',
    ServiceConfig,
    (
        config_ini.Field(
            'kind',
            'model or plain',
            types.EndpointKind,
            _render_member,
            unpack=types.EndpointKind,
        ),
        _make_names_field('models'),
        _make_names_field('once_paths'),
        config_ini.Field(
            'checks_fencing',
            'yes or no',
            config_ini.parse_flag,
            config_ini.render_flag,
            False,
        ),
    ),
)
_MODEL = config_ini.Kind(
    'model',
    ModelConfig,
    (
        config_ini.Field(
            'version', 'a version', config_ini.parse_text, str, '1'
        ),
        _make_names_field('adapters'),
    ),
)

KINDS = (_DOMAIN, _PARTNER, _MODEL, _SERVICE, _ACCOUNT)
KINDS_BY_NAME = {kind.name: kind for kind in KINDS}
ATTRIBUTES = {
    'account': 'accounts',
    'domain': 'domains',
    'model': 'models',
    'partner': 'partners',
    'service': 'services',
}
