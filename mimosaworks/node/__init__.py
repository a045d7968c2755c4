"""The entry node: serves callers and, as lease holder, assigns targets."""

from mimosaworks.node.memory_bounds import share_memory
from mimosaworks.node.program import run_node

__all__ = ['run_node', 'share_memory']
