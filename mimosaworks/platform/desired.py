"""Decodes the desired state that operators write to the store."""

from mimosaworks.deployment import (
    Deployment,
    EngineConfig,
    EngineModel,
    RequestLimits,
    RetryPolicy,
    ServiceConfig,
    ServiceRoute,
    ServiceShare,
    WorkspaceConfig,
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
    'idempotent': RetryPolicy.IDEMPOTENT,
    'non_idempotent': RetryPolicy.ONCE,
    'streaming': RetryPolicy.STREAM,
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
        retry_policy=_repeat(text(fields, 'kind')),
        timeout_s=number(fields, 'timeout-ms') / MS_PER_S,
        latency_target_s=fields.get('target-latency-ms', 0) / MS_PER_S,
        priority=whole(fields, 'priority', 0),
        shares=_shares(fields),
        max_attempts=whole(fields, 'max-attempts', 1),
        is_public=flag(fields, 'public', default=False),
        is_resumable=flag(fields, 'resumable', default=False),
        max_event_gap_s=fields.get('gap-target-ms', 0) / MS_PER_S,
    )


def _repeat(kind: str) -> RetryPolicy:
    # A kind that is not known yet must not be repeated.
    return _REPEATS.get(kind, RetryPolicy.ONCE)


def _shares(fields: Fields) -> tuple[ServiceShare, ...]:
    split = tables(fields, 'traffic-split')
    if split:
        return tuple(
            ServiceShare(text(entry, 'service'), number(entry, 'weight'))
            for entry in split
        )
    return (ServiceShare(text(fields, 'service'), 1),)


def _service(fields: Fields) -> ServiceConfig:
    has_engine = fields.get('engine') is not None
    return ServiceConfig(
        name=text(fields, 'name'),
        health_path=text(fields, 'health-path'),
        max_conns=whole(fields, 'max-conns'),
        engine=_engine(table(fields, 'engine')) if has_engine else None,
    )


def _engine(fields: Fields) -> EngineConfig:
    models = map(_model, tables(fields, 'models'))
    return EngineConfig(
        slots=whole(fields, 'slots'),
        kv_tokens=whole(fields, 'kv-capacity'),
        weights_mb=number(fields, 'weights-mb'),
        adapter_slots=whole(fields, 'adapter-slots'),
        loads_per_s=number(fields, 'loads-per-s'),
        models={model.name: model for model in models},
        disk_mb=fields.get('disk-mb', 0),
        memory_copies_mb=fields.get('host-mb', 0),
    )


def _model(fields: Fields) -> EngineModel:
    store_load_s = number(fields, 'load-time-s')
    return EngineModel(
        name=text(fields, 'name'),
        size_mb=number(fields, 'weights-mb'),
        adapter_count=whole(fields, 'adapters', 0),
        adapter_mb=fields.get('adapter-size-mb', 0),
        store_load_s=store_load_s,
        disk_load_s=fields.get('disk-s', store_load_s),
        memory_load_s=fields.get('warm-s', store_load_s),
    )


def _workspace(fields: Fields) -> WorkspaceConfig:
    priority = fields.get('priority')
    return WorkspaceConfig(
        name=text(fields, 'name'),
        keys=frozenset(texts(fields, 'api-keys')),
        tokens_per_s=fields.get('rate-per-s', 0),
        burst_tokens=fields.get('burst', 0),
        default_tokens=fields.get('plain-tokens', 0),
        priority=priority if isinstance(priority, int) else None,
        charges_tokens=fields.get('unit') == _COUNTS_TOKENS,
    )
