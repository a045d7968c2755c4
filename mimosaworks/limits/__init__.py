"""Token buckets of workspaces and transfers between members."""

from mimosaworks.limits.bucket import Bucket
from mimosaworks.limits.decisions import Receipt
from mimosaworks.limits.holder import TokenHolder
from mimosaworks.limits.service import TokenService

__all__ = ['Bucket', 'Receipt', 'TokenHolder', 'TokenService']
