"""The entry node: serves callers and, as lease holder, assigns targets."""

from mimosaworks.node.program import run_node

__all__ = ['run_node']
