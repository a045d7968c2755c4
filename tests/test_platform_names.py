"""Only the platform's folder knows the names of the platform's wire."""

import ast

from tests.catalogue import MODULES, PACKAGE

WIRE_NAMES = (
    'api-keys',
    'at-hand',
    'expected-orders',
    'fencing-token',
    'Last-Event-Id',
    'max-attempts',
    'rows-feed',
    'rows-get',
    'rows-tx',
    'timeout-ms',
    'ttl-s',
    'v1/lookup',
    'v1/order',
    'v1/ready',
    'v1/report',
    'weights-mb',
    'X-Deadline',
    'X-Expect-Instance',
    'X-Model',
    'X-Not-Executed',
    'X-Prompt-Prefix',
    'X-Request-Priority',
    'X-Server-Seal',
    'X-Tenant',
    'X-Token-Counts',
)


def test_no_module_outside_the_folder_spells_a_name_of_the_wire() -> None:
    found = [
        (str(path.relative_to(PACKAGE)), node.value)
        for path, module in MODULES
        if path.relative_to(PACKAGE).parts[0] != 'platform'
        for node in ast.walk(module)
        if isinstance(node, ast.Constant)
        and isinstance(node.value, str)
        and any(name in node.value for name in WIRE_NAMES)
    ]
    assert not found


def test_the_folder_stays_small() -> None:
    lines = sum(
        len(path.read_text().splitlines())
        for path in (PACKAGE / 'platform').glob('*.py')
    )
    assert lines < 1500
