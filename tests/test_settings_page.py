"""Tests that docs/settings.md lists the settings of each program."""

import attrs

from mimosaworks.admin.settings import AdminSettings
from mimosaworks.cmdline.ctl_settings import CtlSettings
from mimosaworks.placement.placer_settings import PlacerSettings
from mimosaworks.router.settings import RouterSettings
from mimosaworks.settings import env_name
from tests.catalogue import table_rows

PROGRAMS = (
    ('MIMOSA_ROUTER', RouterSettings),
    ('MIMOSA_PLACER', PlacerSettings),
    ('MIMOSA_ADMIN', AdminSettings),
    ('MIMOSACTL', CtlSettings),
)


def shown_default(default: object) -> str:
    """Return a default as the page shows it."""
    if default is attrs.NOTHING:
        return 'required'
    return 'empty' if default == '' else str(default)


def test_page_lists_every_setting_with_variable_and_default() -> None:
    settings = [
        (env_name(prefix, field.name), shown_default(field.default))
        for prefix, settings_type in PROGRAMS
        for field in attrs.fields(settings_type)
    ]
    rows = table_rows('settings.md')
    assert [(row[1], row[2]) for row in rows] == settings
    flags = {row[0].strip('-').replace('-', '_').upper() for row in rows}
    names = {row[1] for row in rows}
    assert all(name.endswith(tuple(flags)) for name in names)
