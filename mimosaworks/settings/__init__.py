"""Settings in flags and environment variables, checked at the start."""

from mimosaworks.settings.option import option
from mimosaworks.settings.sources import (
    env_name,
    make_settings,
    settings_options,
)

__all__ = ['env_name', 'make_settings', 'option', 'settings_options']
