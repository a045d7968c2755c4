"""Checks the frame of packed Cap'n Proto messages."""

import struct

WORD_BYTES = 8
COUNT_BYTES = 4
MAX_SEGMENTS = 512  # the library refuses more
# Of the first tag, which is set for a message of several segments: their
# number less one is in the first half of the first word.
_COUNT_BITS = 0xF
_ZEROS = 0
_VERBATIM = 0xFF
_SIZES = tuple(tag.bit_count() for tag in range(_VERBATIM + 1))


def count_message_words(packed: bytes) -> int:
    """Return the number of words of a message, as its head names them.

    Raises ValueError unless all segments are whole. The library reads those
    after the first as they are used, and the rest of them when the message is
    dropped: one that is cut short ends the process then. It checks messages of
    one segment itself.
    """
    if not packed:
        return 0
    try:
        words = _count_named_words(packed)
        is_whole = not packed[0] & _COUNT_BITS or words == _count_words(packed)
    except (IndexError, struct.error) as exc:
        raise ValueError('the message is cut short') from exc
    if not is_whole:
        raise ValueError('the segments differ from what the head names')
    return words


def _count_words(packed: bytes) -> int:
    """Return the number of words of an unpacked message."""
    words = 0
    place = 0
    size = len(packed)
    while place < size:
        tag = packed[place]
        place += 1 + _SIZES[tag]
        words += 1
        if tag == _ZEROS:
            words += packed[place]
            place += 1
        elif tag == _VERBATIM:
            words += packed[place]
            place += 1 + WORD_BYTES * packed[place]
    if place > size:
        raise IndexError(place)
    return words


def _count_named_words(packed: bytes) -> int:
    """Return the number of words that the head names, its own included."""
    last = int.from_bytes(_unpack(packed, 1)[:COUNT_BYTES], 'little')
    count = last + 1
    if count > MAX_SEGMENTS:
        raise ValueError(f'a message has {count} segments')
    head_words = count // 2 + 1
    head = _unpack(packed, head_words)
    sizes = struct.unpack_from(f'<{count}I', head, COUNT_BYTES)
    return head_words + sum(map(int, sizes))


def _unpack(packed: bytes, words: int) -> bytes:
    """Return at least the first words of a message, unpacked."""
    unpacked = bytearray()
    place = 0
    while len(unpacked) < words * WORD_BYTES:
        tag = packed[place]
        place += 1
        for bit in range(WORD_BYTES):
            is_sent = tag >> bit & 1
            unpacked.append(packed[place] if is_sent else 0)
            place += is_sent
        if tag == _ZEROS:
            unpacked.extend(bytes(WORD_BYTES * packed[place]))
            place += 1
        elif tag == _VERBATIM:
            end = place + 1 + WORD_BYTES * packed[place]
            unpacked.extend(packed[place + 1 : end])
            place = end
    return bytes(unpacked)
