"""What a read of the store shows of a job."""

from dappledrum.jobs.messages import EndedRecord, JobRecord
from dappledrum.store.errors import StoreError

#: The head record of a live job with its version, or why its record is of no use.
LiveRecord = tuple[JobRecord, int] | StoreError
#: The head record of a live job with its version, the record of an ended one, or neither.
StoredJob = tuple[JobRecord, int] | EndedRecord | None
