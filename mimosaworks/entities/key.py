"""A caller's key, kept as its digest only."""

import hashlib

import attrs

DIGEST_LENGTH = 64


@attrs.frozen
class Key:
    """Grants the workspace to a caller whose key has this SHA-256 digest."""

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    digest: str = attrs.field(
        validator=attrs.validators.and_(
            attrs.validators.min_len(DIGEST_LENGTH),
            attrs.validators.max_len(DIGEST_LENGTH),
        )
    )
    workspace: str = attrs.field(validator=attrs.validators.min_len(1))


def digest_key(secret: str) -> str:
    """Return the SHA-256 digest of a key as lower-case hexadecimal text."""
    return hashlib.sha256(secret.encode()).hexdigest()
