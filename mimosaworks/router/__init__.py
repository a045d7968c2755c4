"""The program mimosa-router."""

from mimosaworks.router.program import run_router
from mimosaworks.router.settings import RouterSettings

__all__ = ['RouterSettings', 'run_router']
