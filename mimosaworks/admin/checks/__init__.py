"""Checks between the entities of a configuration; they do no I/O."""

from mimosaworks.admin.checks.changes import check_catalogue, check_changes

__all__ = ['check_catalogue', 'check_changes']
