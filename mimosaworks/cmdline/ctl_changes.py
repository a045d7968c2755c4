"""Makes changes for commands of mimosactl."""

from collections.abc import Callable, Sequence

from mimosaworks.admin.client import AdminClient
from mimosaworks.admin.outcome import Outcome
from mimosaworks.cmdline.ctl_calls import call_admin
from mimosaworks.cmdline.ctl_settings import CtlSettings
from mimosaworks.entities import Catalogue, Change

Decide = Callable[[Catalogue], Sequence[Change]]


def make_changes(cfg: CtlSettings, decide: Decide) -> Outcome:
    """Make the changes that decide returns for the present configuration.

    They are refused if another operator changes it in between.
    """

    async def change(client: AdminClient) -> Outcome:
        catalogue = await client.read_config()
        changes = decide(catalogue)
        outcome = await client.change(changes, catalogue.version)
        return await client.wait_in_force(outcome, cfg.wait_s)

    return call_admin(cfg, change)


def read_config(cfg: CtlSettings) -> Catalogue:
    """Return the present configuration."""

    async def read(client: AdminClient) -> Catalogue:
        return await client.read_config()

    return call_admin(cfg, read)
