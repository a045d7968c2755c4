"""Rate limits of workspaces in tokens, shared between the routers.

Each router has a token bucket with a share of every workspace's grant, and
transfers tokens to and from the other routers.
"""

from mimosaworks.limits.bucket import Bucket
from mimosaworks.limits.decisions import TokenCharge
from mimosaworks.limits.holder import TokenHolder
from mimosaworks.limits.service import TokenService

__all__ = ['Bucket', 'TokenCharge', 'TokenHolder', 'TokenService']
