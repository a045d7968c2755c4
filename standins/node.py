"""A started program with its address."""

import attrs

from standins.process import Process


@attrs.frozen
class Node:
    """One child process that serves HTTP, or TCP, at an address.

    peer_address and control_url are empty where the program has none.
    """

    process: Process
    address: str
    peer_address: str = ''
    control_url: str = ''

    @property
    def url(self) -> str:
        """The base URL."""
        return f'http://{self.address}'
