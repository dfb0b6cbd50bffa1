"""What users ask for.

Any controller serves it, straight from the store. Nothing is answered from memory but
final states: whoever has been told something by one controller must not be told anything older by
another, so each answer rests on a read that began after its request came in.
"""

import logging
from collections import OrderedDict
from datetime import timedelta
from functools import partial
from http import HTTPStatus
from typing import TypeVar

import msgspec

from dappledrum.accounting.served_counts import describe_job
from dappledrum.dependencies.lookup import DependencyLookup
from dappledrum.election.confirmed_cancellations import ConfirmedCancellations
from dappledrum.fleet.messages import MachineType
from dappledrum.http.messages import Response
from dappledrum.jobs.keys import ended_key, head_key, spec_key
from dappledrum.jobs.messages import (
    EndedRecord,
    Form,
    JobRecord,
    Outcome,
    PageRecord,
    Spec,
    SpecPart,
    StatusResponse,
    SubmissionId,
)
from dappledrum.jobs.page_encoding import page_size
from dappledrum.jobs.stored_job import LiveRecord, StoredJob
from dappledrum.jobs.value_parts import LONG_SPEC_DIVISOR, split_spec
from dappledrum.settings import Params
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import (
    ConflictError,
    RateLimitedError,
    StoreError,
    TooLargeError,
)
from dappledrum.store.hedged_commit import commit_or_find
from dappledrum.store.messages import Guard, Put, encode_value
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.value_limit import ValueLimit
from dappledrum.timing.clock import Clock
from dappledrum.user_api.feasibility import infeasibility
from dappledrum.user_api.poll_batcher import LiveStatus, PollBatcher, seen
from dappledrum.user_api.responses import answer, busy, refusal
from dappledrum.user_api.submission_batcher import SubmissionBatcher

log = logging.getLogger(__name__)

READ_TIMEOUT = timedelta(seconds=1)
MAX_CACHED_ENDED_JOBS = 20_000

T = TypeVar("T")


class JobApi:
    """Submissions, polls and cancellations."""

    def __init__(
        self,
        store: StoreClient,
        params: Params,
        clock: Clock,
        value_limit: ValueLimit | None = None,
    ) -> None:
        self.store = store
        self.params = params
        self.clock = clock
        self.value_limit = value_limit or ValueLimit(params.state)
        self.types: list[MachineType] | None = None
        # Versions before 0.4.0 can't read the record of a gang, and would lead nothing for it.
        self.gangs = False
        self.ended: OrderedDict[str, EndedRecord] = OrderedDict()
        self.confirmed = ConfirmedCancellations(clock.now())
        self.submission_batcher = SubmissionBatcher(store, params.state.txn_ops, self.find)
        self.poll_batcher = PollBatcher(
            store, params.state.txn_ops * 4, self.find, self._find_many, self._find_ended
        )
        self.lookup = DependencyLookup(
            store, params.state.txn_ops * 4, self._read_live, self._find_many
        )

    def remember(self, job: str, record: EndedRecord) -> None:
        """Keep a final state; it never changes again."""
        self.ended[job] = record
        while len(self.ended) > MAX_CACHED_ENDED_JOBS:
            self.ended.popitem(last=False)

    async def submit(self, body: bytes) -> Response:
        """POST /submissions."""
        try:
            spec = msgspec.json.decode(body, type=Spec)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return await self._malformed(body, refusal(HTTPStatus.BAD_REQUEST, str(error)))
        if spec.needs is not None:
            needs = list(dict.fromkeys(spec.needs)) or None
            spec = msgspec.structs.replace(spec, needs=needs)
        if spec.id in self.ended:
            return self._present(spec.id, self.ended[spec.id], HTTPStatus.OK)
        try:
            return await self._submit(spec)
        except StoreError as error:
            log.info("submission %s not taken: %s", spec.id, error)
            return busy()

    async def _submit(self, spec: Spec) -> Response:
        objection = await self._objection(spec)
        if objection is not None:
            return await self._unless_accepted(spec.id, objection)
        if spec.id in self.poll_batcher.known:
            # Accepted before. A transaction whose conditions fail counts as a change, too, and
            # repeated submissions once used up the rate that new ones needed.
            known = await self.poll_batcher.ask(spec.id)
            if known is not None:
                return self._present(spec.id, known, HTTPStatus.OK)
        if self.submission_batcher.full():
            return busy()
        puts = self._record(spec)
        if len(puts) > self.params.state.txn_ops:
            objection = refusal(HTTPStatus.BAD_REQUEST, "waits for too many jobs")
            return await self._unless_accepted(spec.id, objection)
        return await self._admit(spec, puts)

    async def _admit(self, spec: Spec, puts: list[Put]) -> Response:
        """Store a job that may be accepted; `puts` are the changes of its records."""
        # A repeated submission of another form joins the first one, whose form is stored.
        first = spec.id not in self.submission_batcher.waiting
        try:
            stored = await self.submission_batcher.admit(spec.id, puts)
        except TooLargeError as error:
            self.value_limit.record_refusal(max(len(bytes(put.value)) for put in puts), str(error))
            return busy()
        except ConflictError:
            found = await self.find(spec.id, RequestPriority.SUBMISSION)
            if isinstance(found, tuple):
                self.poll_batcher.note(spec.id, seen(found[0]), found[1])
            return busy() if found is None else self._present(spec.id, found, HTTPStatus.OK)
        log.info("accepted %s: %s", spec.id, describe_job(spec.tasks, spec.job_class, spec.team))
        if not isinstance(stored, int):
            return self._present(spec.id, stored, HTTPStatus.OK)
        record = msgspec.json.decode(puts[0].value, type=JobRecord)
        self.poll_batcher.note(spec.id, seen(record), stored)
        if first:
            self.lookup.note(spec.id, spec.form)
        return answer(HTTPStatus.CREATED, StatusResponse(spec.id, Outcome.QUEUED))

    async def _malformed(self, body: bytes, objection: Response) -> Response:
        """The answer to a submission that can't be read as a whole."""
        try:
            name = msgspec.json.decode(body, type=SubmissionId).id
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return objection
        try:
            return await self._unless_accepted(name, objection)
        except StoreError as error:
            log.info("malformed submission %s not refused: %s", name, error)
            return busy()

    async def _unless_accepted(self, job: str, objection: Response) -> Response:
        """Refuse a submission; accepted once means accepted for ever, so look before."""
        found = self.ended.get(job) or await self.find(job, RequestPriority.SUBMISSION)
        return objection if found is None else self._present(job, found, HTTPStatus.OK)

    async def _objection(self, spec: Spec) -> Response | None:
        """The answer to a job that can't be taken, unless it was accepted before."""
        if self.types is None:
            return busy(2)
        if (why := self._too_long(spec)) is not None:
            return refusal(HTTPStatus.BAD_REQUEST, why)
        why = infeasibility(spec, self.params, self.types)
        if why is None and spec.needs:
            why = await self.lookup.refusal_reason(spec.needs, spec.id)
        if why is None and spec.form is Form.GANG and not self.gangs:
            return busy(2)
        return None if why is None else refusal(HTTPStatus.UNPROCESSABLE_ENTITY, why)

    def _record(self, spec: Spec) -> list[Put]:
        """What is stored of a new job; the head first."""
        least = self.value_limit.reduced_bytes
        stored = spec
        parts: list[SpecPart] = []
        # Jobs that wait come when every controller reads parts.
        apart = self.value_limit.is_reduced or spec.needs
        if apart and len(msgspec.json.encode(spec)) > least // LONG_SPEC_DIVISOR:
            stored, parts = split_spec(spec, least)
        at_ms = round(self.clock.utc_now().timestamp() * 1000)
        record = JobRecord(
            stored, at_ms, page_size(stored, least), PageRecord(), spec_parts=len(parts)
        )
        puts = [Put(head_key(spec.id), encode_value(record))]
        return puts + [
            Put(spec_key(spec.id, at), encode_value(part)) for at, part in enumerate(parts)
        ]

    def _too_long(self, spec: Spec) -> str | None:
        """A specification must fit into a record, beside the progress."""
        if (
            spec.types is not None
            and len(msgspec.json.encode(msgspec.structs.replace(spec, needs=None)))
            > self.value_limit.current_bytes // 4  # doesn't shrink with a smaller limit
        ):
            return "list of machine types too long"
        return None

    async def poll(self, job: str) -> Response:
        """GET /submissions/{id}."""
        known = self.ended.get(job)
        if known is not None:
            return self._present(job, known, HTTPStatus.OK)
        try:
            found = await self.poll_batcher.ask(job)
        except StoreError as error:
            log.debug("poll of %s not answered: %s", job, error)
            return busy()
        if found is None:
            return refusal(HTTPStatus.NOT_FOUND, "no such job")
        return self._present(job, found, HTTPStatus.OK)

    async def cancel(self, job: str) -> Response:
        """POST /submissions/{id}/cancel."""
        try:
            for _ in range(6):
                found = self.ended.get(job) or await self.find(job, RequestPriority.SUBMISSION)
                if found is None:
                    return refusal(HTTPStatus.NOT_FOUND, "no such job")
                if isinstance(found, EndedRecord) or found[0].cancelled:
                    return self._present(job, found, HTTPStatus.OK, brief=True)
                record, version = found
                record.cancelled = True
                if self.store.budget.queueing_delay(
                    RequestPriority.SUBMISSION, writes=1
                ) > timedelta(seconds=0.3):
                    return busy()
                try:
                    guards = [Guard(head_key(job), version), Guard(ended_key(job), 0)]
                    stored: int | tuple[JobRecord, int] | EndedRecord = await commit_or_find(
                        self.store,
                        guards,
                        [Put(head_key(job), encode_value(record))],
                        RequestPriority.SUBMISSION,
                        partial(self._cancelled, job),
                    )
                except ConflictError:
                    continue
                if not isinstance(stored, int):
                    log.info("%s is cancelled or over, by a read", job)
                    return self._present(job, stored, HTTPStatus.OK, brief=True)
                log.info("cancelled %s", job)
                return self._present(job, (record, version), HTTPStatus.OK, brief=True)
        except StoreError as error:
            # Too large a head is written again by the leader, in parts.
            log.info("cancellation of %s not taken: %s", job, error)
        return busy()

    async def _cancelled(self, job: str) -> StoredJob:
        """What is stored of a job that is cancelled or over, whoever has stored it; else None."""
        found = await self.find(job, RequestPriority.SUBMISSION)
        if isinstance(found, tuple) and not found[0].cancelled:
            return None
        return found

    async def find(self, job: str, priority: RequestPriority) -> StoredJob:
        """Read a job.

        It moves from live to ended only, so the live key is read first; both absent: never
        accepted.
        """
        self._affordable(priority)
        entry = await self.store.get(head_key(job), priority, READ_TIMEOUT)
        if entry is not None:
            return self._decode(entry.value, JobRecord), entry.version
        return await self._find_ended(job, priority)

    async def _read_live(self, job: str) -> JobRecord | None:
        """Read the head of a live job."""
        entry = await self.store.get(head_key(job), RequestPriority.SUBMISSION, READ_TIMEOUT)
        return None if entry is None else self._decode(entry.value, JobRecord)

    def _affordable(self, priority: RequestPriority) -> None:
        if self.store.budget.queueing_delay(priority) > READ_TIMEOUT / 2:
            raise RateLimitedError

    async def _find_ended(self, job: str, priority: RequestPriority) -> EndedRecord | None:
        """Read the final state of a job that is not live any more, or never was."""
        entry = await self.store.get(ended_key(job), priority, READ_TIMEOUT)
        if entry is None:
            return None
        record = self._decode(entry.value, EndedRecord)
        self.remember(job, record)
        return record

    async def _find_many(self, jobs: set[str]) -> dict[str, LiveRecord]:
        """Those of the jobs that are live, from one look at all live ones; a record that can't be
        read is the trouble of those who ask for its job, not of all who ask together."""
        entries, _ = await self.store.scan(head_key(""), RequestPriority.POLL)
        result: dict[str, LiveRecord] = {}
        for entry in entries:
            job = entry.key.removeprefix(head_key(""))
            if job in jobs:
                try:
                    result[job] = self._decode(entry.value, JobRecord), entry.version
                except StoreError as error:
                    result[job] = error
        return result

    @staticmethod
    def _decode(value: msgspec.Raw, kind: type[T]) -> T:
        try:
            return msgspec.json.decode(value, type=kind)
        except msgspec.DecodeError as error:
            raise StoreError(f"unusable record: {error}") from error

    def _present(
        self, job: str, found: StoredJob | LiveStatus, status: int, brief: bool = False
    ) -> Response:
        if isinstance(found, EndedRecord):
            body = StatusResponse(
                job, found.state, found.tasks if found.state is Outcome.DONE else None, 0
            )
        else:
            assert found is not None
            live = found if isinstance(found, LiveStatus) else seen(found[0])
            state = Outcome.RUNNING if live.running else Outcome.QUEUED
            if live.cancelled:
                # Of a job that has moved to the ended ones it is proven, and stored, that none of
                # its tasks is left.
                self.confirmed.note(job, self.clock.now())
            body = StatusResponse(
                job, Outcome.CANCELLED if live.cancelled else state, live.done, live.running
            )
        if brief:
            body = StatusResponse(job, body.state)
        return answer(status, body)
