"""Decodes the desired state that operators write to the store."""

from mimosaworks.deployment import (
    Deployment,
    EngineModel,
    EngineTerms,
    Repeat,
    RequestLimits,
    ServiceRoute,
    ServiceShare,
    ServiceTerms,
    WorkspaceTerms,
)
from mimosaworks.json_fields import (
    Fields,
    flag,
    number,
    parse_table,
    table,
    tables,
    text,
    texts,
    whole,
)
from mimosaworks.platform.boot import MS_PER_S

DESIRED_TABLE = 'op'
DESIRED_KEY = 'config'
_COUNTS_TOKENS = 'token_stream'
_REPEATS = {  # noqa: WPS407 -- read only
    'idempotent': Repeat.IDEMPOTENT,
    'non_idempotent': Repeat.ONCE,
    'streaming': Repeat.STREAM,
}


def decode_desired(written: bytes) -> Deployment:
    """Return the deployment of a desired state.

    Raises ValueError for bytes that are none.
    """
    parsed = parse_table(written)
    services = map(_service, tables(parsed, 'services'))
    workspaces = map(_workspace, tables(parsed, 'tenants'))
    return Deployment(
        version=whole(parsed, 'version'),
        routes=tuple(map(_route, tables(parsed, 'routes'))),
        services={service.name: service for service in services},
        workspaces={terms.name: terms for terms in workspaces},
        limits=_limits(table(parsed, 'limits')),
    )


def _limits(fields: Fields) -> RequestLimits:
    return RequestLimits(
        header_bytes=whole(fields, 'max-header-bytes'),
        body_bytes=whole(fields, 'max-body-bytes'),
        header_timeout_s=number(fields, 'header-timeout-ms') / MS_PER_S,
        idle_timeout_s=number(fields, 'idle-timeout-ms') / MS_PER_S,
    )


def _route(fields: Fields) -> ServiceRoute:
    return ServiceRoute(
        name=text(fields, 'name'),
        host=text(fields, 'host'),
        prefix=text(fields, 'prefix'),
        repeat=_repeat(text(fields, 'kind')),
        timeout_s=number(fields, 'timeout-ms') / MS_PER_S,
        target_s=fields.get('target-latency-ms', 0) / MS_PER_S,
        priority=whole(fields, 'priority', 0),
        shares=_shares(fields),
        max_attempts=whole(fields, 'max-attempts', 1),
        is_public=flag(fields, 'public', default=False),
        is_resumable=flag(fields, 'resumable', default=False),
        gap_s=fields.get('gap-target-ms', 0) / MS_PER_S,
    )


def _repeat(kind: str) -> Repeat:
    # A kind that is not known yet must not be repeated.
    return _REPEATS.get(kind, Repeat.ONCE)


def _shares(fields: Fields) -> tuple[ServiceShare, ...]:
    split = tables(fields, 'traffic-split')
    if split:
        return tuple(
            ServiceShare(text(entry, 'service'), number(entry, 'weight'))
            for entry in split
        )
    return (ServiceShare(text(fields, 'service'), 1),)


def _service(fields: Fields) -> ServiceTerms:
    has_engine = fields.get('engine') is not None
    return ServiceTerms(
        name=text(fields, 'name'),
        health_path=text(fields, 'health-path'),
        max_conns=whole(fields, 'max-conns'),
        engine=_engine(table(fields, 'engine')) if has_engine else None,
    )


def _engine(fields: Fields) -> EngineTerms:
    models = map(_model, tables(fields, 'models'))
    return EngineTerms(
        slots=whole(fields, 'slots'),
        kv_tokens=whole(fields, 'kv-capacity'),
        weights_mb=number(fields, 'weights-mb'),
        adapter_slots=whole(fields, 'adapter-slots'),
        loads_per_s=number(fields, 'loads-per-s'),
        models={model.name: model for model in models},
        disk_mb=fields.get('disk-mb', 0),
        copies_mb=fields.get('host-mb', 0),
    )


def _model(fields: Fields) -> EngineModel:
    store_load_s = number(fields, 'load-time-s')
    return EngineModel(
        name=text(fields, 'name'),
        size_mb=number(fields, 'weights-mb'),
        adapters=whole(fields, 'adapters', 0),
        adapter_mb=fields.get('adapter-size-mb', 0),
        store_load_s=store_load_s,
        disk_load_s=fields.get('disk-s', store_load_s),
        memory_load_s=fields.get('warm-s', store_load_s),
    )


def _workspace(fields: Fields) -> WorkspaceTerms:
    priority = fields.get('priority')
    return WorkspaceTerms(
        name=text(fields, 'name'),
        keys=frozenset(texts(fields, 'api-keys')),
        rate=fields.get('rate-per-s', 0),
        burst=fields.get('burst', 0),
        plain_tokens=fields.get('plain-tokens', 0),
        priority=priority if isinstance(priority, int) else None,
        counts_tokens=fields.get('unit') == _COUNTS_TOKENS,
    )
