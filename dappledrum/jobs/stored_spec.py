"""The specification of a live job in the leader's memory, and the values that it is stored in."""

from collections.abc import Sequence

import msgspec

from dappledrum.jobs.keys import spec_key
from dappledrum.jobs.messages import JobRecord, Spec, SpecPart
from dappledrum.jobs.value_parts import is_long, join_spec, split_spec
from dappledrum.store.messages import Delete, Put
from dappledrum.store.value_size import encoded_size


class StoredSpec:
    """A specification that is stored in the head, or in the head and additional values."""

    def __init__(self, record: JobRecord, parts: Sequence[SpecPart]) -> None:
        """Create it from the head and from the parts that the head counts."""
        self.complete: Spec = join_spec(record.spec, parts)
        self.in_head = record.spec  # without what is in parts
        self.head_bytes = encoded_size(self.in_head)
        self.part_count = len(parts)  # to be counted by the head when it is written next
        self.unstored_parts: list[SpecPart] = []  # to be written with the head
        self.existing_parts = len(parts)  # that may exist

    def split(self, max_part_bytes: int) -> None:
        """Move the lists and names of a long specification from the head into parts."""
        if is_long(self.in_head, max_part_bytes):
            self._set_head(*split_spec(self.in_head, max_part_bytes))

    def _set_head(self, in_head: Spec, new_parts: list[SpecPart]) -> None:
        self.in_head = in_head
        self.head_bytes = encoded_size(in_head)
        self.unstored_parts += new_parts
        self.part_count += len(new_parts)

    def changes(self) -> list[Put | Delete]:
        """Changes that store the new parts, to be written with the head."""
        first = self.part_count - len(self.unstored_parts)
        return [
            Put(spec_key(self.complete.id, number), msgspec.Raw(msgspec.json.encode(part)))
            for number, part in enumerate(self.unstored_parts, first)
        ]

    def mark_stored(self) -> None:
        """Record that the head is stored, with the parts that it counts."""
        self.unstored_parts = []
        self.existing_parts = max(self.existing_parts, self.part_count)

    def mark_outcome_unknown(self) -> None:
        """Record that the head may be stored, or may still be."""
        self.existing_parts = max(self.existing_parts, self.part_count)

    def adopt(self, record: JobRecord) -> None:
        """Take over the stored form of the head, which another controller may have written."""
        if record.spec_parts > self.part_count:
            self.unstored_parts = []
            self.part_count = record.spec_parts
            self._set_head(record.spec, [])
        self.existing_parts = max(self.existing_parts, record.spec_parts)
