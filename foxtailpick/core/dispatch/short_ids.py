"""Bounds the ids that callers choose and that are kept after a request.

Load pattern: clients send ids as long as all headers may be, a new one with
each request. What is kept by id would fill the memory, and messages and items
that list ids would exceed what a datagram or the store takes. All routers
shorten an id in the same way.
"""

import hashlib

# Ids up to this length are kept as they are.
MAX_ID_CHARS = 128
_DIGEST_BYTES = 16


def shorten(value: str) -> str:
    """Return an id of bounded length that stands for a caller's id.

    :param value: the id as sent.
    """
    if len(value) <= MAX_ID_CHARS:
        return value
    digest = hashlib.blake2b(value.encode(), digest_size=_DIGEST_BYTES)
    return f'digest-{digest.hexdigest()}'
