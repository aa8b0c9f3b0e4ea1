"""Counts requests in flight until their bodies are sent, so that a planned stop can wait."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Iterator

from kitekeel_callers.caller_request import Environment
from kitekeel_callers.intake import StartResponse

Application = Callable[[Environment, StartResponse], Iterable[bytes]]


class InFlight:
    """WSGI middleware that counts the requests in flight."""

    def __init__(self, application: Application) -> None:
        self._application = application
        self._count = 0
        self._changed = threading.Condition()

    def __call__(self, environment: Environment, start_response: StartResponse) -> Iterable[bytes]:
        """Pass one request to the wrapped application and count it until its body is closed."""
        with self._changed:
            self._count += 1
        try:
            body = self._application(environment, start_response)
        except BaseException:
            self._end()
            raise
        return _CountedBody(body, self._end)

    def count(self) -> int:
        """Return the number of requests in flight."""
        return self._count

    def wait_until_idle(self, seconds: float) -> bool:
        """Wait until no request is in flight; return false on a timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, seconds)

    def _end(self) -> None:
        with self._changed:
            self._count -= 1
            self._changed.notify_all()


class _CountedBody(Iterator[bytes]):
    """A response body that ends the request on close, which the server always calls."""

    def __init__(self, body: Iterable[bytes], on_end: Callable[[], None]) -> None:
        self._body = body
        self._pieces = iter(body)
        self._on_end = on_end

    def __next__(self) -> bytes:
        return next(self._pieces)

    def close(self) -> None:
        """Close the body and count the request as ended."""
        try:
            close = getattr(self._body, "close", None)
            if close is not None:
                close()
        finally:
            self._on_end()
