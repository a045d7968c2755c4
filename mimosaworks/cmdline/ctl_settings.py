"""Settings of mimosactl."""

from typing import Any

import attrs

from mimosaworks.settings import option

PREFIX = 'MIMOSACTL'
OUTPUTS = ('text', 'json')
WAIT_S = 10.0


def _output(_instance: Any, _field: Any, content: str) -> None:
    if content not in OUTPUTS:
        raise ValueError(f'--output must be text or json, not {content!r}')


@attrs.frozen
class CtlSettings:
    """Which administration process to call, as whom, and how to print."""

    admin_url: str = option(
        'Base URL of any mimosa-admin.',
        default='http://127.0.0.1:8081',
    )
    operator_token: str = option(
        "The operator's token; better set in the environment.",
        default='',
        is_secret=True,
    )
    output: str = option(
        'How results are printed: text or json.',
        default='text',
        validator=_output,
    )
    wait_s: float = option(
        'Seconds to wait until a change is in force everywhere.', default=WAIT_S
    )
