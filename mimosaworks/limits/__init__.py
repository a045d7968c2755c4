"""Rate limits of workspaces in tokens, shared between the routers.

Each router has a token bucket with a share of every workspace's grant, and
transfers tokens to and from the other routers.
"""

from mimosaworks.limits.decisions import TokenCharge
from mimosaworks.limits.service import TokenService
from mimosaworks.limits.token_allocator import TokenAllocator
from mimosaworks.limits.token_bucket import TokenBucket

__all__ = ['TokenAllocator', 'TokenBucket', 'TokenCharge', 'TokenService']
