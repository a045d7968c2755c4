"""Checks, stores and publishes changes of the configuration."""

import contextlib
from collections.abc import Sequence

import attrs

from mimosaworks.admin.checks import check_changes
from mimosaworks.admin.fault import Fault
from mimosaworks.admin.outcome import Outcome
from mimosaworks.admin.refusals import InvalidChangeError, VersionConflictError
from mimosaworks.admin.status import ReadMembers
from mimosaworks.configs import ConfigStore
from mimosaworks.entities import Catalogue, Change
from mimosaworks.errors import (
    ErrorKind,
    RequestError,
    StoreConflictError,
    StoreUnavailableError,
)
from mimosaworks.members import Acceptance, Member, MemberService
from mimosaworks.metrics import MetricsClient

APPEND_ATTEMPTS = 5


@attrs.define
class AdminService:
    """Used by the HTTP handlers; keeps nothing that lasts."""

    store: ConfigStore
    members: MemberService
    member_rows: ReadMembers
    metrics: MetricsClient = attrs.field(factory=MetricsClient)

    async def read(self) -> Catalogue:
        """Return the newest stored configuration.

        Raises StoreUnavailableError.
        """
        return await self.store.load(self.members.catalogue)

    async def read_or_recall(self) -> tuple[Catalogue, bool]:
        """Return the newest configuration that can be had.

        The second item tells whether it was read from the store; if not, it
        is the one that this member has applied.
        """
        try:
            return await self.read(), True
        except StoreUnavailableError:
            return self.members.catalogue, False

    async def read_members(self) -> tuple[tuple[Member, ...], bool]:
        """Return the members, and whether they were read from the store."""
        try:
            return await self.member_rows(), True
        except StoreUnavailableError:
            return self.members.members(), False

    async def change(
        self, changes: Sequence[Change], base_version: int | None, author: str
    ) -> Outcome:
        """Store the changes as one version and publish it.

        With a base_version the changes are refused unless the configuration
        is at it. Without one they are put on top of whatever is stored.
        Raises InvalidChangeError, VersionConflictError and store errors.
        """
        if base_version is not None:
            return await self._change_at(changes, base_version, author)
        attempts = 1
        while attempts < APPEND_ATTEMPTS:
            newest = (await self.read()).version
            with contextlib.suppress(VersionConflictError):
                return await self._change_at(changes, newest, author)
            attempts += 1
        newest = (await self.read()).version
        return await self._change_at(changes, newest, author)

    async def outcome_of(self, version: int) -> Outcome:
        """Return whether a stored version is in force everywhere."""
        newest = (await self.read()).version
        if not 0 <= version <= newest:
            raise RequestError(
                ErrorKind.NOT_FOUND, f'there is no version {version}'
            )
        return await self._publish(version, ())

    async def _change_at(
        self, changes: Sequence[Change], base_version: int, author: str
    ) -> Outcome:
        catalogue = await self.read()
        if catalogue.version != base_version:
            raise VersionConflictError(catalogue.version)
        warnings = _checked(catalogue, changes)
        effective = [one for one in changes if _has_effect(catalogue, one)]
        if not effective:
            return await self._publish(base_version, warnings)
        try:
            version = await self.store.append(base_version, effective, author)
        except StoreConflictError as exc:
            newest = await self.read()
            raise VersionConflictError(newest.version) from exc
        return await self._publish(version, warnings)

    async def _publish(
        self, version: int, warnings: tuple[Fault, ...]
    ) -> Outcome:
        acceptance = await self.members.publish(version)
        return Outcome(version, acceptance is Acceptance.IN_FORCE, warnings)


def _checked(
    catalogue: Catalogue, changes: Sequence[Change]
) -> tuple[Fault, ...]:
    found = check_changes(catalogue, changes)
    faults = [fault for fault in found if not fault.is_warning]
    if faults:
        raise InvalidChangeError(faults)
    return found


def _has_effect(catalogue: Catalogue, change: Change) -> bool:
    present = getattr(catalogue, change.kind).get(change.name)
    return bool(present != change.entity)
