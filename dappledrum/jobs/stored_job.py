"""Results of reading a job from the store."""

from dappledrum.jobs.messages import EndedRecord, JobRecord
from dappledrum.store.errors import StoreError

#: The head record of a live job with its version, or why its record is unusable.
LiveRecord = tuple[JobRecord, int] | StoreError
#: The head record of a live job with its version, the record of an ended job, or None if neither.
StoredJob = tuple[JobRecord, int] | EndedRecord | None
