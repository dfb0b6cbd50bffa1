"""Routes of the public address: map a method and a path to a handler."""

import re
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple

from dappledrum.http.messages import Request, Response
from dappledrum.user_api.responses import refusal

Handler = Callable[[Request], Awaitable[Response]]


class Route(NamedTuple):
    """One path pattern, the only method that it allows, and its handler."""

    method: str
    pattern: re.Pattern[str]  # of the whole path, without the query
    handler: Handler


def route(method: str, pattern: str, handler: Handler) -> Route:
    """Create a route; in `pattern`, `{id}` stands for one path segment that is not empty."""
    return Route(method, re.compile(pattern.replace("{id}", "[^/]+")), handler)


class Router:
    """Passes each request to the handler of the first route whose path it matches."""

    def __init__(self, *routes: Route) -> None:
        self.routes = routes

    async def serve(self, request: Request) -> Response:
        """Serve a request; an unknown path is answered with 404, another method with 405."""
        path = request.path.partition("?")[0]
        for method, pattern, handler in self.routes:
            if pattern.fullmatch(path) is None:
                continue
            if request.method != method:
                return refusal(HTTPStatus.METHOD_NOT_ALLOWED, f"use {method}")
            return await handler(request)
        return refusal(HTTPStatus.NOT_FOUND, "no such path")
