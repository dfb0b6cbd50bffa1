"""Serves the requests of users: submissions, polls and cancellations of jobs.

Every controller serves them directly from the store. Only final states are answered from memory:
a user who has received a state from one controller must not receive an older one from another, so
each answer rests on a read that began after the request arrived.
"""

import logging
from http import HTTPStatus

import msgspec

from dappledrum.accounting.served_counts import describe_job
from dappledrum.dependencies.lookup import DependencyLookup
from dappledrum.election.confirmed_cancellations import ConfirmedCancellations
from dappledrum.fleet.messages import MachineType
from dappledrum.http.messages import Response
from dappledrum.jobs.keys import head_key, spec_key
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
from dappledrum.jobs.stored_job import StoredJob
from dappledrum.jobs.value_parts import fits, is_long, split_spec
from dappledrum.settings import Params
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import ConflictError, StoreError, TooLargeError
from dappledrum.store.messages import Put, encode_value
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.value_limit import ValueLimit
from dappledrum.store.value_size import encoded_size, value_size
from dappledrum.timing.clock import Clock
from dappledrum.user_api.canceller import Canceller
from dappledrum.user_api.feasibility import infeasibility
from dappledrum.user_api.job_heads import HeadCache, LiveStatus, job_head
from dappledrum.user_api.job_reader import JobReader
from dappledrum.user_api.poll_batcher import PollBatcher
from dappledrum.user_api.responses import answer, busy, refusal
from dappledrum.user_api.submission_batcher import SubmissionBatcher

log = logging.getLogger(__name__)

GUARDS_PER_CHANGE = 4  # of the changes that the store allows in one transaction (PROTOCOL)


class JobApi:
    """Submissions, polls and cancellations, on one controller."""

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
        # Whether all controllers support gangs: a leader older than 0.4.0 can't read the record of
        # a gang, and would manage no job at all because of it.
        self.gangs_supported = False
        self.reader = JobReader(store)
        self.heads = HeadCache()
        self.confirmed = ConfirmedCancellations(clock.now())
        self.submission_batcher = SubmissionBatcher(store, params.state.txn_ops, self.reader.find)
        max_guards = params.state.txn_ops * GUARDS_PER_CHANGE
        self.poll_batcher = PollBatcher(self.reader, self.heads, max_guards)
        self.canceller = Canceller(
            store, params.state.txn_ops, self.value_limit, self.reader.find_cached
        )
        self.lookup = DependencyLookup(
            store, max_guards, self.reader.read_live, self.reader.find_many
        )

    def cache_ended(self, job: str, record: EndedRecord) -> None:
        """Cache a final state; it never changes again."""
        self.reader.cache_ended(job, record)

    async def submit(self, body: bytes) -> Response:
        """Serve POST /submissions."""
        try:
            spec = msgspec.json.decode(body, type=Spec)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return await self._refuse_malformed(body, refusal(HTTPStatus.BAD_REQUEST, str(error)))
        if spec.needs is not None:
            needs = list(dict.fromkeys(spec.needs)) or None
            spec = msgspec.structs.replace(spec, needs=needs)
        if spec.id in self.reader.ended:
            return self._status_response(spec.id, self.reader.ended[spec.id], HTTPStatus.OK)
        try:
            return await self._submit(spec)
        except StoreError as error:
            log.info("submission of %s failed: %s", spec.id, error)
            return busy()

    async def _submit(self, spec: Spec) -> Response:
        rejection = await self._find_rejection(spec)
        if rejection is not None:
            return await self._reject_unless_accepted(spec.id, rejection)
        if spec.id in self.heads:
            # Already accepted. A transaction whose guards fail counts as a change, too, and
            # repeated submissions once used up the rate that new ones needed.
            found = await self.poll_batcher.ask(spec.id)
            if found is not None:
                return self._status_response(spec.id, found, HTTPStatus.OK)
        if self.submission_batcher.is_full():
            return busy()
        if not fits(spec, self.value_limit.reduced_bytes):
            rejection = refusal(HTTPStatus.BAD_REQUEST, "names too long for a record")
            return await self._reject_unless_accepted(spec.id, rejection)
        puts = self._new_job_writes(spec)
        if len(puts) > self.params.state.txn_ops:
            rejection = refusal(HTTPStatus.BAD_REQUEST, "waits for too many jobs")
            return await self._reject_unless_accepted(spec.id, rejection)
        return await self._store_new_job(spec, puts)

    async def _store_new_job(self, spec: Spec, puts: list[Put]) -> Response:
        """Store a new job and answer its submission; `puts` write its records, the head first."""
        # A repeated submission with another form joins the first one, whose form is stored.
        is_first = spec.id not in self.submission_batcher.waiting
        try:
            stored = await self.submission_batcher.admit(spec.id, puts)
        except TooLargeError as error:
            self.value_limit.record_refusal(
                max(value_size(bytes(put.value)) for put in puts), str(error)
            )
            return busy()
        except ConflictError:
            found = await self.reader.find(spec.id, RequestPriority.SUBMISSION)
            if isinstance(found, tuple):
                self.heads.put(spec.id, job_head(*found))
            return await self._found_response(spec.id, found)
        log.info("accepted %s: %s", spec.id, describe_job(spec.tasks, spec.job_class, spec.team))
        if not isinstance(stored, int):
            return await self._found_response(spec.id, stored)
        if is_first:
            if len(puts) > 1:
                self.heads.put_dependencies(spec.id, tuple(spec.needs or ()))
            self.lookup.note(spec.id, spec.form)
        record = msgspec.json.decode(puts[0].value, type=JobRecord)
        self.heads.put(spec.id, job_head(record, stored))
        return answer(HTTPStatus.CREATED, StatusResponse(spec.id, Outcome.QUEUED))

    async def _refuse_malformed(self, body: bytes, rejection: Response) -> Response:
        """Answer a submission that can't be decoded; its job may have been accepted before."""
        try:
            name = msgspec.json.decode(body, type=SubmissionId).id
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return rejection
        try:
            return await self._reject_unless_accepted(name, rejection)
        except StoreError as error:
            log.info("malformed submission of %s not refused: %s", name, error)
            return busy()

    async def _reject_unless_accepted(self, job: str, rejection: Response) -> Response:
        """Refuse a submission, unless its job was accepted before and so stays accepted."""
        found = await self.reader.find_cached(job, RequestPriority.SUBMISSION)
        return rejection if found is None else await self._found_response(job, found)

    async def _found_response(self, job: str, found: StoredJob) -> Response:
        """Answer a repeated submission, after a read of its job.

        A job that waits for others is read again, together with them.
        """
        if found is None:
            return busy()
        if isinstance(found, EndedRecord):
            return self._status_response(job, found, HTTPStatus.OK)
        head = job_head(*found)
        if not head.may_wait:
            return self._status_response(job, head.status, HTTPStatus.OK)
        state = await self.poll_batcher.ask(job)
        return busy() if state is None else self._status_response(job, state, HTTPStatus.OK)

    async def _find_rejection(self, spec: Spec) -> Response | None:
        """Return the response if a new job can't be accepted, now or ever; None if it can."""
        if self.types is None:
            return busy(2)
        if (reason := self._oversize_reason(spec)) is not None:
            return refusal(HTTPStatus.BAD_REQUEST, reason)
        reason = infeasibility(spec, self.params, self.types)
        if reason is None and spec.needs:
            reason = await self.lookup.refusal_reason(spec.needs, spec.id)
        if reason is None and spec.form is Form.GANG and not self.gangs_supported:
            return busy(2)
        return None if reason is None else refusal(HTTPStatus.UNPROCESSABLE_ENTITY, reason)

    def _new_job_writes(self, spec: Spec) -> list[Put]:
        """Return the writes that store a new job, the head first."""
        max_part_bytes = self.value_limit.reduced_bytes
        stored = spec
        parts: list[SpecPart] = []
        # Jobs with dependencies are submitted only once every controller can read parts.
        may_split = self.value_limit.is_reduced or spec.needs
        if may_split and is_long(spec, max_part_bytes):
            stored, parts = split_spec(spec, max_part_bytes)
        at_ms = round(self.clock.utc_now().timestamp() * 1000)
        record = JobRecord(
            stored, at_ms, page_size(stored, max_part_bytes), PageRecord(), spec_parts=len(parts)
        )
        puts = [Put(head_key(spec.id), encode_value(record))]
        return puts + [
            Put(spec_key(spec.id, at), encode_value(part)) for at, part in enumerate(parts)
        ]

    def _oversize_reason(self, spec: Spec) -> str | None:
        """Return why a specification does not fit into a record beside the progress, or None."""
        if (
            spec.types is not None
            and encoded_size(msgspec.structs.replace(spec, needs=None))
            > self.value_limit.current_bytes // 4  # the same before and after the limits drop
        ):
            return "list of machine types too long"
        return None

    async def poll(self, job: str) -> Response:
        """Serve GET /submissions/{id}."""
        cached = self.reader.ended.get(job)
        if cached is not None:
            return self._status_response(job, cached, HTTPStatus.OK)
        try:
            found = await self.poll_batcher.ask(job)
        except StoreError as error:
            log.debug("poll of %s not answered: %s", job, error)
            return busy()
        if found is None:
            return refusal(HTTPStatus.NOT_FOUND, "no such job")
        return self._status_response(job, found, HTTPStatus.OK)

    async def cancel(self, job: str) -> Response:
        """Serve POST /submissions/{id}/cancel."""
        try:
            found = await self.canceller.cancel(job)
        except StoreError as error:
            log.info("cancellation of %s failed: %s", job, error)
            return busy()
        if found is None:
            return refusal(HTTPStatus.NOT_FOUND, "no such job")
        if isinstance(found, EndedRecord):
            return self._status_response(job, found, HTTPStatus.OK, state_only=True)
        self.heads.mark_cancelled(job)
        return self._status_response(job, job_head(*found).status, HTTPStatus.OK, state_only=True)

    def _status_response(
        self, job: str, found: LiveStatus | EndedRecord, status: int, state_only: bool = False
    ) -> Response:
        if isinstance(found, EndedRecord):
            body = StatusResponse(
                job, found.state, found.tasks if found.state is Outcome.DONE else None, 0
            )
        else:
            state = Outcome.RUNNING if found.running else Outcome.QUEUED
            if found.cancelled and not found.by_dependency:
                # Not needed for an ended job: it is stored as ended only once none of its tasks
                # is left. Nor for one that waits for another: none of its tasks has started.
                self.confirmed.note(job, self.clock.now())
            body = StatusResponse(
                job, Outcome.CANCELLED if found.cancelled else state, found.done, found.running
            )
        if state_only:
            body = StatusResponse(job, body.state)
        return answer(status, body)
