"""The entry node: callers' requests, and decisions while it is elected."""

from mimosaworks.node.program import run_node

__all__ = ['run_node']
