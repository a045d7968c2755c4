"""Settings in flags and environment variables, checked at the start."""

from mimosaworks.settings.option import option
from mimosaworks.settings.sourced import SourcedSetting
from mimosaworks.settings.sources import (
    env_name,
    make_settings,
    settings_options,
    sourced_settings,
)
from mimosaworks.settings.validators import (
    address,
    not_empty,
    optional_address,
    url,
)

__all__ = [
    'SourcedSetting',
    'address',
    'env_name',
    'make_settings',
    'not_empty',
    'option',
    'optional_address',
    'settings_options',
    'sourced_settings',
    'url',
]
