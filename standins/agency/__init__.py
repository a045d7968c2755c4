"""Stand-ins for the agency's targets, beside the platform's store."""

from standins.agency.replica import Replica, replica_app

__all__ = ['Replica', 'replica_app']
