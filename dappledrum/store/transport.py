"""Sends requests to the store within the request budget and classifies their failures."""

import asyncio
from datetime import timedelta
from http import HTTPStatus
from typing import NamedTuple, TypeVar

import msgspec

from dappledrum.http.client import HttpClient, NoResponseError, NotSentError, Reply
from dappledrum.store.availability import StoreAvailability
from dappledrum.store.errors import RateLimitedError, RefusedError, UnknownOutcomeError
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.request_budget import RequestBudget
from dappledrum.timing.clock import ZERO

T = TypeVar("T")

REQUEST_TIMEOUT = timedelta(seconds=1.5)
#: Users' requests that would have to wait longer fail at once, so that users can retry elsewhere.
MAX_USER_QUEUEING_DELAY = timedelta(seconds=0.5)
USER_PRIORITIES = (RequestPriority.POLL, RequestPriority.SUBMISSION)


class StoreRequest(NamedTuple):
    """One request; `writes` is the number of its changes, charged to the budget."""

    method: str
    path: str
    body: bytes | None
    priority: RequestPriority
    timeout: timedelta = REQUEST_TIMEOUT
    writes: int = 0

    def __str__(self) -> str:
        return f"{self.method} {self.path}"

    @property
    def is_watch(self) -> bool:
        """Whether the request waits for changes, so that its duration says nothing about the
        store."""
        return self.path.startswith("/watch")


class StoreTransport:
    """Sends requests over one HTTP client and records their outcomes."""

    def __init__(
        self, http_client: HttpClient, budget: RequestBudget, availability: StoreAvailability
    ) -> None:
        self.http_client = http_client
        self.budget = budget
        self.availability = availability

    async def send(self, request: StoreRequest) -> Reply:
        """Send a request once the budget allows it; returns any response below 500 except 429.

        Raises RateLimitedError, RefusedError or UnknownOutcomeError.
        """
        await self._wait_for_budget(request)
        self.budget.consume(request.writes)
        link = self.availability.link
        sent = self.availability.clock.now() if request.is_watch else link.request_sent()
        reply = await self._exchange(request)
        self._check_status(request, reply, sent)
        if not request.is_watch:
            self.availability.record_answer(sent)
            self.budget.reset_backoff()
            self.availability.record_success()
        return reply

    async def _wait_for_budget(self, request: StoreRequest) -> None:
        delay = self.budget.queueing_delay(request.priority, request.writes)
        if delay <= ZERO:
            return
        if request.priority in USER_PRIORITIES and delay > MAX_USER_QUEUEING_DELAY:
            raise RateLimitedError(request=str(request))
        await asyncio.sleep(delay.total_seconds())

    async def _exchange(self, request: StoreRequest) -> Reply:
        try:
            return await self.http_client.request(
                request.method, request.path, request.body, request.timeout
            )
        except NotSentError as error:
            self.availability.record_failure(str(error))
            raise RefusedError(str(error), str(request)) from error
        except NoResponseError as error:
            self.availability.record_failure(str(error), hung=True)
            raise UnknownOutcomeError(str(error), str(request)) from error

    def _check_status(self, request: StoreRequest, reply: Reply, sent: timedelta) -> None:
        """Raise an error if the status shows that the store did not serve the request."""
        if reply.status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
            self.budget.back_off(HTTPStatus(reply.status))
            if reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
                self.availability.record_failure(f"status {reply.status}")
            elif not request.is_watch:
                self.availability.record_answer(sent)
            raise RefusedError(f"status {reply.status}", str(request))
        if reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise unexpected_status(request, reply)


def unexpected_status(request: StoreRequest, reply: Reply) -> UnknownOutcomeError:
    """Error for a response with a status that is not defined for this request."""
    return UnknownOutcomeError(f"status {reply.status}", str(request))


def decode_reply(request: StoreRequest, reply: Reply, body_type: type[T]) -> T:
    """Decode the body of a response; raises UnknownOutcomeError if it is malformed."""
    try:
        return msgspec.json.decode(reply.body, type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UnknownOutcomeError(f"malformed response: {error}", str(request)) from error
