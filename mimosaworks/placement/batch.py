"""One commit of a shard's holder to the table."""

from collections.abc import Mapping

import attrs

from mimosaworks.placement.intent import Intent
from mimosaworks.placement.lease_row import LeaseRow
from mimosaworks.platform import RowAssert, RowWrite


@attrs.frozen
class Batch:
    """A renewal or claim of the lease with changes of intents.

    Every commit writes the lease row and asserts its version. So the table
    refuses a late holder, and a batch in doubt is either in the table, where
    its lease row shows it, or can be sent again unchanged. changes maps order
    ids to the new intent or, for a deletion, None. sent_s is the time before
    the batch was first sent.
    """

    shard: str
    lease: LeaseRow
    asserted_version: int
    sent_s: float
    changes: Mapping[str, Intent | None] = attrs.field(factory=dict)

    def asserts(self) -> list[RowAssert]:
        """Return what the commit asserts."""
        return [RowAssert(lease_key(self.shard), self.asserted_version)]

    def writes(self) -> list[RowWrite]:
        """Return the rows that the commit writes."""
        prefix = intent_prefix(self.shard)
        rows = [RowWrite(lease_key(self.shard), self.lease.to_json())]
        for order_id, intent in self.changes.items():
            text = None if intent is None else intent.to_json()
            rows.append(RowWrite(f'{prefix}{order_id}', text))
        return rows


def lease_key(shard: str) -> str:
    """Return the key of a shard's lease row."""
    return f'shards/{shard}/lease'


def intent_prefix(shard: str) -> str:
    """Return the prefix of the keys of a shard's intent rows."""
    return f'shards/{shard}/intents/'
