"""One commit of a shard's lease holder to the table."""

from collections.abc import Mapping

import attrs

from mimosaworks.placement.intent import Intent
from mimosaworks.placement.lease_row import LeaseRow
from mimosaworks.platform import RowAssert, RowWrite


@attrs.frozen
class ShardCommit:
    """A renewal or claim of the lease with changes of intents.

    Every commit writes the lease row and asserts its version. So the table
    refuses a holder whose lease another placer has claimed, and a commit
    without an answer is either in the table, where its lease row shows it,
    or can be sent again unchanged. intent_changes maps order ids to the new
    intent or, for a deletion, None. first_sent_s is the time before the
    commit was first sent.
    """

    shard: str
    lease_row: LeaseRow
    expected_lease_version: int
    first_sent_s: float
    intent_changes: Mapping[str, Intent | None] = attrs.field(factory=dict)

    def row_asserts(self) -> list[RowAssert]:
        """Return the row versions that the commit asserts."""
        return [
            RowAssert(lease_row_key(self.shard), self.expected_lease_version)
        ]

    def row_writes(self) -> list[RowWrite]:
        """Return the rows that the commit writes."""
        prefix = intent_key_prefix(self.shard)
        rows = [RowWrite(lease_row_key(self.shard), self.lease_row.to_json())]
        for order_id, intent in self.intent_changes.items():
            text = None if intent is None else intent.to_json()
            rows.append(RowWrite(f'{prefix}{order_id}', text))
        return rows


def lease_row_key(shard: str) -> str:
    """Return the key of a shard's lease row."""
    return f'shards/{shard}/lease'


def intent_key_prefix(shard: str) -> str:
    """Return the prefix of the keys of a shard's intent rows."""
    return f'shards/{shard}/intents/'
