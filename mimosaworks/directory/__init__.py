"""Directory: which entry VM to use."""

from mimosaworks.directory.entries import ENTRIES_PATH, add_entries_route

__all__ = ['ENTRIES_PATH', 'add_entries_route']
