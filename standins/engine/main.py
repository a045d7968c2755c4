"""Starts the engine stand-in."""

import asyncio
from contextlib import AsyncExitStack
from typing import Any

import click
from aiohttp import ClientSession, web

from mimosaworks.settings import make_settings, settings_options
from standins.engine.batch import Batch
from standins.engine.checkpoints import Checkpoints
from standins.engine.engine import Engine
from standins.engine.kv_cache import KVCache
from standins.engine.kv_handlers import add_kv_handlers
from standins.engine.load_report import LoadReport
from standins.engine.memory import Memory
from standins.engine.options import ENV_PREFIX, EngineOptions
from standins.engine.order_handlers import add_order_handlers
from standins.engine.orders import OrderRunner
from standins.engine.prefix_cache import PrefixCache
from standins.engine.request_handlers import add_request_handlers
from standins.engine.status_handlers import add_status_handlers
from standins.recorder import Recorder
from standins.serving import (
    MAX_BODY_BYTES,
    run,
    serve_app,
    wait_for_stop,
)


@click.command()
@settings_options(EngineOptions, ENV_PREFIX)
def main(**flags: Any) -> None:
    """Run an engine with a continuous batch and made-up tokens."""
    run(_serve(make_settings(EngineOptions, ENV_PREFIX, **flags)))


async def _serve(cfg: EngineOptions) -> None:
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(ClientSession())
        engine = _make_engine(cfg, session)
        runner = OrderRunner(engine)
        stack.callback(runner.close)
        load = LoadReport(cfg.report_lag_s)
        for job in (engine.batch.run(), load.watch(engine.batch)):
            stack.callback(asyncio.create_task(job).cancel)
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        add_request_handlers(app, engine, _serve_kv(app))
        add_order_handlers(app, engine, runner)
        add_status_handlers(app, engine, load)
        await serve_app(stack, app, cfg.listen)
        await wait_for_stop('engine', cfg.listen)


def _make_engine(cfg: EngineOptions, session: ClientSession) -> Engine:
    prefixes = PrefixCache(cfg.prefixes, cfg.event_lag_s, cfg.event_loss)
    engine = Engine(
        cfg=cfg,
        batch=Batch(cfg, prefixes),
        checkpoints=Checkpoints(cfg, session),
        memory=Memory(cfg.memory_bytes),
        recorder=Recorder(cfg.journal),
    )
    engine.preload()
    return engine


def _serve_kv(app: web.Application) -> KVCache:
    kv_cache = KVCache()
    add_kv_handlers(app, kv_cache)
    return kv_cache


if __name__ == '__main__':
    main()
