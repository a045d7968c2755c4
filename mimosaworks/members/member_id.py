"""The name of one process for good."""

import attrs


@attrs.frozen
class MemberId:
    """An address and the boot nonce of the process that listens there."""

    address: str
    boot_nonce: str
