"""Nodes of an older build beside those of this one.

MIMOSA_OLDER_BUILD names the folder of a checkout of the older build; tests that
need it are left out without it.
"""

import os
from pathlib import Path

import pytest

from standins.agency.world import NODE_MODULE, AgencyWorld, NodeHandle
from standins.processes import ROOT

OLDER = os.environ.get('MIMOSA_OLDER_BUILD', '')
NEW, OLD = 'this', 'older'
needs_older = pytest.mark.skipif(
    not OLDER, reason='MIMOSA_OLDER_BUILD names no build'
)


async def start_node(
    world: AgencyWorld, name: str, build: str, module: str = NODE_MODULE
) -> NodeHandle:
    """Start a node of a build."""
    folder = ROOT if build == NEW else Path(OLDER)
    return await world.add_node(name, module=module, folder=folder)
