"""What streams of targets say."""

ECHO = b'echo '  # the start of bodies whose first line answers repeat


def event_text(number: int, said: bytes = b'') -> bytes:
    """Return an event of a stream, with what its request's body says."""
    words = [b'piece', b'%d' % number, said]
    return b'id: %d\ndata: %s\n\n' % (number, b' '.join(filter(None, words)))


def repeated_text(body: bytes) -> bytes:
    """Return what a body asks answers to repeat."""
    first, _, _ = body.partition(b'\n')
    return first if first.startswith(ECHO) else b''
