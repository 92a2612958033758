"""The newest changes of the configuration, from which the leader builds deltas for ingresses."""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Iterator, Mapping
from itertools import islice
from typing import Any

from cairndale.configuration import delta
from cairndale.configuration.content_digest import DIGEST_MODULUS, ItemDigest, iter_item_digests
from cairndale.configuration.delta import ConfigDelta, GenerationChange
from cairndale.configuration.generation_id import generation_id

MAX_RECORDED_CHANGES = 256  # deltas start at most this many generations back
DIGESTED_PER_STEP = 400  # items; takes about 2 ms
MIN_SAVING_FACTOR = 8  # a delta is sent if its JSON is shorter than the content's by this factor


class DeltaHistory:
    """Successive changes, and the digest of the content in force.

    Identical at all members that applied the changes. The digest is computed a few items at a time
    (`digest_next_items`), as no caller waits for it: until it is complete, full contents are sent.
    """

    def __init__(self) -> None:
        self._changes: deque[GenerationChange] = deque(maxlen=MAX_RECORDED_CHANGES)
        self._digest = 0
        self._size = 0  # bytes of the content's canonical JSON
        self._undigested: Iterator[ItemDigest] | None = None  # None: not started
        self._is_digested = False
        self._deltas: dict[int, ConfigDelta | None] = {}  # cache, by id of the base generation

    def record(self, change: GenerationChange | None) -> None:
        """Record that this change came into force; None: a change whose items are not known."""
        self._deltas = {}
        if change is None:
            self._changes.clear()
            self._undigested = None
            self._is_digested = False
            return
        self._changes.append(change)
        self._add(change.digest, change.size)  # also while the previous content is being digested

    def digest_next_items(self, content: Mapping[str, Any]) -> bool:
        """Digests the next items of the content in force; True once all are digested."""
        if self._is_digested:
            return True
        if self._undigested is None:
            self._undigested = iter_item_digests(content)
            self._digest = self._size = 0
        chunk = list(islice(self._undigested, DIGESTED_PER_STEP))
        self._add(sum(item.value for item in chunk), sum(item.size for item in chunk))
        self._is_digested = len(chunk) < DIGESTED_PER_STEP
        self._deltas = {}
        return self._is_digested

    def delta_since(self, gen_id: int) -> ConfigDelta | None:
        """The delta from the generation with this id to the newest.

        None if that generation is unknown or the delta is not worth its bytes.
        """
        if gen_id not in self._deltas:
            self._deltas[gen_id] = self._build_delta(gen_id) if self._is_digested else None
        return self._deltas[gen_id]

    def _build_delta(self, gen_id: int) -> ConfigDelta | None:
        changes = self._changes_since(gen_id)
        if not changes or sum(change.count for change in changes) > delta.MAX_CHANGED_ITEMS:
            return None
        text = delta.encode_changes(delta.merge_changes(change.changes for change in changes))
        if len(text) * MIN_SAVING_FACTOR > self._size:
            return None
        return ConfigDelta(
            base_gen=gen_id,
            gen=changes[-1].gen,
            base_digest=(self._digest - sum(change.digest for change in changes)) % DIGEST_MODULUS,
            digest=self._digest,
            encoded_changes=zlib.compress(text, 6),
        )

    def _changes_since(self, gen_id: int) -> list[GenerationChange]:
        """The changes after a generation; empty if no recorded change starts at it."""
        changes = list(self._changes)
        for number, change in enumerate(changes):
            if generation_id(change.base_gen) == gen_id:
                return changes[number:]
        return []

    def _add(self, digest: int, size: int) -> None:
        self._digest = (self._digest + digest) % DIGEST_MODULUS
        self._size += size
