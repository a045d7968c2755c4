"""Makes changes for commands of mimosactl."""

from collections.abc import Callable, Sequence

from mimosaworks.admin.api_error import AdminApiError
from mimosaworks.admin.client import AdminClient
from mimosaworks.admin.outcome import Outcome
from mimosaworks.cmdline.ctl_calls import call_admin
from mimosaworks.cmdline.ctl_settings import CtlSettings
from mimosaworks.entities import Catalogue, Change
from mimosaworks.errors import ErrorKind

ATTEMPTS = 5
Decide = Callable[[Catalogue], Sequence[Change]]


def make_changes(cfg: CtlSettings, decide: Decide) -> Outcome:
    """Make the changes that decide returns for the present configuration.

    When the configuration changes in between, decide is called again with
    the newer one, so that no operator's change is undone unseen.
    """

    async def change(client: AdminClient) -> Outcome:
        return await change_with_retries(client, decide, cfg.wait_s, ATTEMPTS)

    return call_admin(cfg, change)


async def change_with_retries(
    client: AdminClient, decide: Decide, wait_s: float, attempts: int
) -> Outcome:
    """Make the changes, deciding again after each lost race."""
    try:
        return await _change_once(client, decide, wait_s)
    except AdminApiError as exc:
        if attempts == 1 or exc.code != ErrorKind.CONFLICT.value:
            raise
    return await change_with_retries(client, decide, wait_s, attempts - 1)


def read_config(cfg: CtlSettings) -> Catalogue:
    """Return the present configuration."""

    async def read(client: AdminClient) -> Catalogue:
        return await client.read_config()

    return call_admin(cfg, read)


async def _change_once(
    client: AdminClient, decide: Decide, wait_s: float
) -> Outcome:
    catalogue = await client.read_config()
    changes = decide(catalogue)
    outcome = await client.change(changes, catalogue.version)
    return await client.wait_in_force(outcome, wait_s)
