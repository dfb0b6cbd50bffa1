"""Runs a leader during each term of this controller."""

import asyncio
import logging
from collections.abc import Mapping
from datetime import timedelta

from dappledrum.controller.environment import Clients, Environment
from dappledrum.election.elector import Elector
from dappledrum.election.terms import Term
from dappledrum.jobs.job import Job
from dappledrum.leader.context import TermContext
from dappledrum.leader.leader import Leader
from dappledrum.store.value_limit import ValueLimit
from dappledrum.timing.timeouts import PauseDetector
from dappledrum.user_api.job_api import JobApi

log = logging.getLogger(__name__)

#: The peers are asked for this long after a term has begun; later replies add nothing.
MAX_NO_ANSWERS_QUERY = timedelta(seconds=5)
NO_ANSWERS_TIMEOUT = timedelta(milliseconds=200)  # also the pause between two attempts


class TermRunner:
    """Creates a `Leader` when a term begins, and runs it until the term ends."""

    def __init__(
        self,
        environment: Environment,
        clients: Clients,
        elector: Elector,
        job_api: JobApi,
        value_limit: ValueLimit,
        pause_detector: PauseDetector,
    ) -> None:
        self.environment = environment
        self.clients = clients
        self.elector = elector
        self.job_api = job_api
        self.value_limit = value_limit
        self.pause_detector = pause_detector
        self.leader: Leader | None = None  # None: this controller runs no term
        self._term_changed = asyncio.Event()

    def leadership_changed(self) -> None:
        """Wake up `run` to check whether a term has begun."""
        self._term_changed.set()

    async def run(self) -> None:
        """Run each term to its end, until cancelled."""
        while True:
            await self._term_changed.wait()
            self._term_changed.clear()
            term = self.elector.term
            if term is None or term.ended.is_set():
                continue
            self.leader = self._create_leader(term)
            no_answers_query = asyncio.ensure_future(self._query_no_answers(self.leader))
            try:
                await self.leader.run()
            except Exception:
                log.exception("leader failed, term of epoch %d ends", term.epoch)
                term.ended.set()
            finally:
                no_answers_query.cancel()
                self.leader = None

    def expected_heartbeats(self) -> Mapping[str, int]:
        """Number of machines that should send heartbeats, by zone; empty for a follower."""
        return self.leader.expected_heartbeats() if self.leader is not None else {}

    def apply_confirmed_cancellations(self, cancelled: frozenset[str]) -> bool:
        """Treat these jobs as cancelled; returns False if this controller runs no leader."""
        if self.leader is None:
            return False
        self.leader.apply_confirmed_cancellations(cancelled)
        return True

    def _create_leader(self, term: Term) -> Leader:
        context = TermContext(
            term,
            may_command=lambda: self.elector.leading_term() is not None,
            store=self.clients.store,
            value_limit=self.value_limit,
            cloud=self.clients.cloud,
            params=self.environment.params,
            tuning=self.environment.tuning,
            clock=self.environment.clock,
            running_since=self.pause_detector.running_since,
        )
        return Leader(context, self.job_api.types or [], self._job_ended)

    def _job_ended(self, job: Job) -> None:
        self.job_api.cache_ended(job.id, job.ended_record())

    async def _query_no_answers(self, leader: Leader) -> None:
        """Ask the peers since when no other controller can have answered a worker.

        It matters after all controllers were down, and when the former leader has returned.
        """
        clock = self.environment.clock
        began = leader.term.started_at
        own_last_answer = self.elector.last_possible_answer_at
        while clock.now() - began < MAX_NO_ANSWERS_QUERY:
            unanswered = await self.clients.peers.time_without_answers(NO_ANSWERS_TIMEOUT)
            if unanswered is not None:
                leader.no_answers_since(max(own_last_answer, clock.now() - unanswered))
                return
            await asyncio.sleep(NO_ANSWERS_TIMEOUT.total_seconds())
