"""Keeps the set of token-share holders equal to the routers."""

import asyncio
import random
from collections.abc import Callable

import attrs

from mimosaworks.clock import DRIFT, now_s
from mimosaworks.configs import ConfigStore
from mimosaworks.entities import HOLDER_SET_NAME, HolderSet, put_change
from mimosaworks.errors import PlatformError
from mimosaworks.limits import TokenService
from mimosaworks.members import FRESHNESS_S, MemberRole, MemberService

PERIOD_S = 0.25
# Routers that see the same difference don't all write at the same time.
MAX_JITTER_S = 0.5
AUTHOR = 'system:holders'


@attrs.define
class HolderSync:
    """Writes holder sets and tells the token service of those applied.

    A set is confirmed once each member that has not applied its version must
    have lost its freshness: FRESHNESS_S x (1 + DRIFT) after this process
    first saw it. A member without freshness dispatches nothing.
    """

    members: MemberService
    store: ConfigStore
    tokens: TokenService
    rng: random.Random
    now: Callable[[], float] = now_s
    _seen_at_s: float = 0
    _seen_epoch: int = 0
    _confirmed_epoch: int = 0

    async def run(self) -> None:
        """Follow the members until cancelled."""
        while True:
            self.apply()
            if self._differs():
                await asyncio.sleep(self.rng.uniform(0, MAX_JITTER_S))
                await self._write()
            await asyncio.sleep(PERIOD_S)

    def apply(self) -> None:
        """Pass on the applied set, and its confirmation when it is due."""
        applied = self._applied()
        if applied.epoch > self._seen_epoch:
            self._seen_epoch = applied.epoch
            self._seen_at_s = self.now()
            self.tokens.set_holders(applied.epoch, applied.addresses)
        age_s = self.now() - self._seen_at_s
        is_due = age_s > FRESHNESS_S * (1 + DRIFT)
        if is_due and self._confirmed_epoch < self._seen_epoch:
            self._confirmed_epoch = self._seen_epoch
            self.tokens.confirm_holders(self._seen_epoch)

    def _applied(self) -> HolderSet:
        sets = self.members.catalogue.holder_set
        return sets.get(HOLDER_SET_NAME, HolderSet())

    def _wanted(self) -> tuple[str, ...]:
        return tuple(
            sorted(
                member.address
                for member in self.members.members()
                if member.role == MemberRole.ROUTER
            )
        )

    def _differs(self) -> bool:
        wanted = self._wanted()
        return bool(wanted) and wanted != self._applied().addresses

    async def _write(self) -> None:
        if not self.members.is_fresh() or not self._differs():
            return
        applied = self._applied()
        wanted = HolderSet(epoch=applied.epoch + 1, addresses=self._wanted())
        change = put_change(wanted)
        try:
            await self.store.append(
                self.members.catalogue.version, [change], AUTHOR
            )
        except PlatformError:
            # Another router was faster or the table is out; the next round
            # compares again.
            return
