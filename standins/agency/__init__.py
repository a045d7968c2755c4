"""Stand-ins for the agency's platform: its store and its targets."""

from standins.agency.faults import StoreFaults
from standins.agency.replica import Replica, replica_app
from standins.agency.store import Store
from standins.agency.store_app import store_app

__all__ = ['Replica', 'Store', 'StoreFaults', 'replica_app', 'store_app']
