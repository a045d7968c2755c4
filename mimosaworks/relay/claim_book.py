"""Claims idempotency keys in the table before a request is sent."""

import asyncio
import contextlib
import secrets
from collections.abc import Callable

import attrs
import tenacity

from mimosaworks.errors import (
    ErrorKind,
    PlatformError,
    RequestError,
    RunState,
    StoreConflictError,
    StoreInDoubtError,
    StoreUnavailableError,
)
from mimosaworks.platform import (
    GroupCommit,
    Row,
    RowAssert,
    RowWrite,
    TableClient,
)
from mimosaworks.relay.claim import (
    Claim,
    ClaimState,
    StoredAnswer,
    claim_from_json,
)

NONCE_BYTES = 12
MAX_TRIES = 3
SETTLE_TRIES = 20
SETTLE_MAX_WAIT_S = 2.0
# Between reads of a claim that runs; each pause is twice the one before.
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 0.3


@attrs.define
class ClaimBook:
    """One router's claims; an Idempotency-Key is run at most once by it.

    owner and boot name this process; is_running tells whether a process with
    an address and boot nonce may still be running its claims.
    """

    table: TableClient
    group: GroupCommit
    owner: str
    boot: str
    is_running: Callable[[str, str], bool]

    def new_claim(self, key: str, mark: str) -> Claim:
        """Return a claim to be made; its nonce tells it from all others."""
        return Claim(
            key=key,
            owner=self.owner,
            boot=self.boot,
            nonce=secrets.token_hex(NONCE_BYTES),
            mark=mark,
        )

    async def claim(self, wanted: Claim, may_wait: Callable[[], bool]) -> Claim:
        """Make the claim and return it, or an answered one to replay.

        Waits for a claim that runs while may_wait() holds: its caller may have
        the answer already, and the table not yet. Raises RequestError when
        another request holds the key or the table can't be written; then
        nothing was sent to a target. After STORE_UNAVAILABLE the claim may
        stand: call release.
        """
        tries = 0
        while tries < MAX_TRIES:
            tries += 1
            found = await self._try_claim(wanted)
            if found is not None and found.mark == wanted.mark:
                found = await self._read_ended(found, wanted, may_wait)
            if found is not None:
                return _judge(found, wanted, self.is_running)
        raise _unavailable('the claim was not settled')

    async def settle(self, claim: Claim, answer: StoredAnswer | None) -> None:
        """Keep the answer for resends; None when the outcome is in doubt.

        Tried for a while, since the request has run; a failure leaves the
        claim running, which resends are told.
        """
        state = ClaimState.ANSWERED if answer else ClaimState.IN_DOUBT
        settled = attrs.evolve(claim, state=state, answer=answer)
        await self._replace(claim, settled.to_json())

    async def release(self, claim: Claim) -> None:
        """Give the key up: the request was not run."""
        await self._replace(claim, None)

    async def _try_claim(self, wanted: Claim) -> Claim | None:
        write = RowWrite(wanted.key, wanted.to_json())
        try:
            await self.group.commit([RowAssert(wanted.key, 0)], [write])
        except StoreConflictError:
            return await self._read(wanted.key)
        except StoreInDoubtError:
            # The row tells whether the write took effect.
            return await self._read(wanted.key)
        except StoreUnavailableError as exc:
            raise _unavailable(str(exc)) from exc
        return wanted

    async def _read_ended(
        self, found: Claim, wanted: Claim, may_wait: Callable[[], bool]
    ) -> Claim | None:
        latest: Claim | None = found
        pause_s = FIRST_PAUSE_S
        # Without the table, the claim stands as it was read last.
        with contextlib.suppress(RequestError):
            while latest and self._is_held(latest, wanted) and may_wait():
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2, MAX_PAUSE_S)
                latest = await self._read(wanted.key)
        return latest

    def _is_held(self, found: Claim, wanted: Claim) -> bool:
        return (
            found.nonce != wanted.nonce
            and found.state is ClaimState.RUNNING
            and self.is_running(found.owner, found.boot)
        )

    async def _read(self, key: str) -> Claim | None:
        row = await self._read_row(key)
        return claim_from_json(row.content) if row else None

    async def _read_row(self, key: str) -> Row | None:
        try:
            rows = await self.table.read([key])
        except PlatformError as exc:
            raise _unavailable(str(exc)) from exc
        return rows.get(key)

    async def _replace(self, claim: Claim, content: str | None) -> None:
        trying = tenacity.AsyncRetrying(
            stop=tenacity.stop_after_attempt(SETTLE_TRIES),
            wait=tenacity.wait_exponential_jitter(max=SETTLE_MAX_WAIT_S),
            retry=tenacity.retry_if_exception_type((
                PlatformError,
                RequestError,
            )),
        )
        async for attempt in trying:
            with attempt:
                await self._replace_once(claim, content)

    async def _replace_once(self, claim: Claim, content: str | None) -> None:
        row = await self._read_row(claim.key)
        if row is None or claim_from_json(row.content).nonce != claim.nonce:
            return
        # An earlier try may have settled it and lost only its reply.
        if row.content != content:
            await self.group.commit(
                [RowAssert(claim.key, row.version)],
                [RowWrite(claim.key, content)],
            )


def _judge(
    found: Claim, wanted: Claim, is_running: Callable[[str, str], bool]
) -> Claim:
    if found.nonce == wanted.nonce:
        return found
    if found.mark != wanted.mark:
        raise RequestError(
            ErrorKind.IDEMPOTENCY_MISMATCH,
            'the key was used for a different request',
        )
    if found.state is ClaimState.ANSWERED:
        return found
    is_open = found.state is ClaimState.RUNNING
    if is_open and is_running(found.owner, found.boot):
        raise RequestError(
            ErrorKind.IDEMPOTENCY_IN_PROGRESS,
            'a request with the key is running',
        )
    raise RequestError(
        ErrorKind.IDEMPOTENCY_IN_DOUBT,
        'a request with the key may have run; its answer is not known',
    )


def _unavailable(reason: str) -> RequestError:
    return RequestError(
        ErrorKind.STORE_UNAVAILABLE,
        f'the idempotency key could not be claimed: {reason}',
        run_state=RunState.NOT_RUN,
    )
