"""Settings in flags and environment variables, checked at the start."""

from mimosaworks.settings.option import option
from mimosaworks.settings.sourced import SourcedSetting
from mimosaworks.settings.sources import (
    env_name,
    make_settings,
    settings_options,
    sourced_settings,
)

__all__ = [
    'SourcedSetting',
    'env_name',
    'make_settings',
    'option',
    'settings_options',
    'sourced_settings',
]
