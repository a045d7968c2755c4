"""The platform stand-in: its store, and the weight store."""

from standins.platform.store import Store, json_row
from standins.platform.store_app import store_app
from standins.platform.store_faults import StoreFaults

__all__ = ['Store', 'StoreFaults', 'json_row', 'store_app']
