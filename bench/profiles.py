"""The deployments' profiles, read from bench/profile_data."""

import json
import pathlib

import cattrs

from bench.profile import Profile

_FOLDER = pathlib.Path(__file__).with_name('profile_data')


def profile_names() -> list[str]:
    """Return the names of the profiles that there are."""
    return sorted(path.stem for path in _FOLDER.glob('*.json'))


def read_profile(name: str) -> Profile:
    """Return a profile by name."""
    text = (_FOLDER / f'{name}.json').read_text()
    return cattrs.structure(json.loads(text), Profile)
