"""At-most-once execution: a non-repeatable request runs once, at the home of its key."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from typing import Protocol

import msgspec

from kitekeel_callers.caller_request import CallerRequest
from kitekeel_steering.clock import Clock, steady_seconds
from kitekeel_steering.errors import (
    ConnectFailedError,
    HomeMovedError,
    HomeUnreachableError,
    IdempotencyKeyRequiredError,
    KeyExpiredError,
    KitekeelError,
    NoRoomError,
    NotRunError,
    OutcomeUnknownError,
)
from kitekeel_steering.home_tokens import HomeToken, HomeTokenSigner, split_key
from kitekeel_steering.http_messages import StreamedAnswer
from kitekeel_steering.key_table import KeptAnswer, KeyRecord, KeyState, KeyTable

_MAX_KEPT_BODY_BYTES = 64 * 1024
_HOME_FAILOVER_TIMEOUT_SECONDS = 2.0
_HOME_FAILOVER_POLL_SECONDS = 0.1

RunOnce = Callable[[CallerRequest, float], StreamedAnswer]


class Home(msgspec.Struct, frozen=True):
    """The daemon that currently serves the keys of an instance."""

    instance: str
    caller_address: str


class HomeDirectory(Protocol):
    """Resolves an instance to the daemon that serves its keys."""

    def own_instance(self) -> str:
        """Return this daemon's instance."""

    def resolve(self, instance: str) -> Home | None:
        """Return the live daemon that serves the instance's keys, or ``None`` if there is none."""


class Claims(Protocol):
    """Assigns a home to keys that carry no home token."""

    def claim(self, key: str) -> str:
        """Return the instance that is the key's home."""


class Relay(Protocol):
    """Forwards a request to another daemon."""

    def relay(self, home: Home, request: CallerRequest, deadline: float) -> StreamedAnswer:
        """Return the other daemon's answer."""


class KeptAnswerError(KitekeelError):
    """Raised for a repeat of a finished request; carries the stored answer."""

    code = "kept-answer"

    def __init__(self, answer: KeptAnswer) -> None:
        super().__init__("the request has already run")
        self.answer = answer


class IdempotentRequests:
    """Runs each non-repeatable request at most once.

    Args:
        signer: verifies home tokens.
        table: the keys whose home is this daemon.
        homes: resolves instances to daemons.
        claims: assigns a home to keys without a token.
        relay: forwards requests to their home.
        clock: its wall clock is compared with the expiry of tokens.
        claim_life_seconds: how long a claimed key is remembered.
    """

    def __init__(
        self,
        signer: HomeTokenSigner,
        table: KeyTable,
        homes: HomeDirectory,
        claims: Claims,
        relay: Relay,
        clock: Clock,
        claim_life_seconds: float,
    ) -> None:
        self._signer = signer
        self._table = table
        self._homes = homes
        self._claims = claims
        self._relay = relay
        self._clock = clock
        self._claim_life_seconds = claim_life_seconds

    def run(self, request: CallerRequest, deadline: float, run_once: RunOnce) -> StreamedAnswer:
        """Run the request at its home, or report the outcome of an earlier attempt.

        Raises:
            NotRunError: neither this attempt nor an earlier one has run.
            OutcomeUnknownError: this attempt or an earlier one may have run.
            KeptAnswerError: an earlier attempt was answered; the error carries that answer.
        """
        if not request.key:
            raise IdempotencyKeyRequiredError(
                "a request that may not be repeated needs an Idempotency-Key: "
                "the home token from a look-up, a '.', and a suffix of your choice"
            )
        token = self._home_token(request.key)
        home = self._homes.resolve(token.instance)
        if home is not None and home.instance == self._homes.own_instance():
            return self._run_at_home(request, token, deadline, run_once)
        if request.relayed:
            raise HomeUnreachableError("this daemon is not the key's home", 1.0)
        return self._relay_to_home(request, token.instance, deadline)

    def _home_token(self, key: str) -> HomeToken:
        text, _ = split_key(key)
        if text:
            return self._signer.verify(text)
        expires_at = int(self._clock.wall() + self._claim_life_seconds)
        return HomeToken(self._claims.claim(key), expires_at)

    def _run_at_home(
        self, request: CallerRequest, token: HomeToken, deadline: float, run_once: RunOnce
    ) -> StreamedAnswer:
        key = request.key
        while True:
            if self._clock.wall() >= token.expires_at:
                raise KeyExpiredError("the key's home token has expired; look up a new one")
            try:
                record = self._table.begin(key, _fingerprint(request), token.expires_at)
            except HomeMovedError:
                return self._relay_to_home(request, token.instance, deadline)
            if record is None:
                return self._run_first_attempt(request, deadline, run_once)
            remaining = max(0.0, deadline - steady_seconds())
            ended = self._table.wait(record, remaining)
            if ended is not None:
                raise _earlier_attempt_error(ended)

    def _run_first_attempt(
        self, request: CallerRequest, deadline: float, run_once: RunOnce
    ) -> StreamedAnswer:
        try:
            answer = run_once(request, deadline)
        except NotRunError:
            self._table.release(request.key)
            raise
        except BaseException:
            self._table.mark_unknown(request.key)
            raise
        pieces = _RecordingPieces(answer, request.key, self._table)
        return msgspec.structs.replace(answer, pieces=pieces)

    def _relay_to_home(
        self, request: CallerRequest, instance: str, deadline: float
    ) -> StreamedAnswer:
        """Forward the request to its home.

        A failed connect sends nothing, so the request may be sent to another daemon as soon as
        that daemon is known to have taken over the home's keys.
        """
        give_up_at = min(deadline, steady_seconds() + _HOME_FAILOVER_TIMEOUT_SECONDS)
        last_tried = ""
        while True:
            home = self._homes.resolve(instance)
            is_other = home is not None and home.instance != self._homes.own_instance()
            if home is not None and is_other and home.instance != last_tried:
                try:
                    return self._relay.relay(home, request, deadline)
                except ConnectFailedError:
                    last_tried = home.instance
                except NoRoomError as error:
                    # This attempt has not run, but only the home knows whether an earlier one has.
                    raise HomeUnreachableError(error.message, 1.0) from error
            if home is None or steady_seconds() >= give_up_at:
                raise HomeUnreachableError("the key's home cannot be reached", 1.0)
            time.sleep(_HOME_FAILOVER_POLL_SECONDS)


class _RecordingPieces(Iterator[bytes]):
    """Yields an answer's body and stores it, up to a size limit, for repeats of the request."""

    def __init__(self, answer: StreamedAnswer, key: str, table: KeyTable) -> None:
        self._answer = answer
        self._key = key
        self._table = table
        self._recorded: bytearray | None = bytearray()
        self._ended = False

    def __next__(self) -> bytes:
        try:
            piece = next(self._answer.pieces)
        except StopIteration:
            self._finish()
            raise
        except BaseException:
            self._finish_unknown()
            raise
        self._record(piece)
        return piece

    def close(self) -> None:
        """Read the rest of the body, so that a repeat gets the answer if this caller has left."""
        try:
            while not self._ended:
                next(self)
        except (StopIteration, OutcomeUnknownError):
            return

    def _record(self, piece: bytes) -> None:
        if self._recorded is None:
            return
        self._recorded += piece
        if len(self._recorded) > _MAX_KEPT_BODY_BYTES:
            self._recorded = None

    def _finish(self) -> None:
        self._ended = True
        body = None if self._recorded is None else bytes(self._recorded)
        answer = KeptAnswer(self._answer.status, self._answer.headers, body)
        self._table.finish(self._key, answer)

    def _finish_unknown(self) -> None:
        self._ended = True
        self._table.mark_unknown(self._key)


def _fingerprint(request: CallerRequest) -> str:
    return f"{request.service} {request.forwarded.method} {request.forwarded.target}"


def _earlier_attempt_error(record: KeyRecord) -> KitekeelError:
    if record.state is KeyState.FINISHED and record.answer is not None:
        return KeptAnswerError(record.answer)
    return OutcomeUnknownError("an earlier attempt may have run; the request is not run again")
