"""The form in which processes tell each other the generation of a configuration.

Operators choose generations, which are integers of any size, while a message has 64 bits for one.
Processes only compare generations for equality: what is older follows from the state's version.
"""

from __future__ import annotations

from hashlib import blake2b

MAX_UINT64 = (1 << 64) - 1
_ID_BYTES = 8


def generation_id(gen: int) -> int:
    """The 64-bit id of a generation: the generation itself, or a hash of one that does not fit."""
    if gen <= MAX_UINT64:
        return gen
    return int.from_bytes(blake2b(str(gen).encode(), digest_size=_ID_BYTES).digest())
