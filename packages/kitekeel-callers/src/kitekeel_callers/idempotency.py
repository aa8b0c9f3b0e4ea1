"""At most once: finds the home of a request's key, and there runs the request a single time."""

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
_HOME_CHANGE_SECONDS = 2.0
_HOME_CHANGE_PAUSE_SECONDS = 0.1

RunOnce = Callable[[CallerRequest, float], StreamedAnswer]


class Home(msgspec.Struct, frozen=True):
    """Where the keys of an instance are answered for at present."""

    instance: str
    caller_address: str


class HomeDirectory(Protocol):
    """Knows which daemon answers for an instance's keys."""

    def own_instance(self) -> str:
        """Return this daemon's instance."""

    def resolve(self, instance: str) -> Home | None:
        """Return the live daemon that answers for the keys; ``None`` where there is none."""


class Claims(Protocol):
    """Finds a home for keys that name none."""

    def claim(self, key: str) -> str:
        """Return the instance that is the key's home."""


class Relay(Protocol):
    """Passes a request on to another daemon."""

    def relay(self, home: Home, request: CallerRequest, deadline: float) -> StreamedAnswer:
        """Return the other daemon's answer."""


class KeptAnswerError(KitekeelError):
    """A repeat of a finished request: carries the kept answer."""

    code = "kept-answer"

    def __init__(self, answer: KeptAnswer) -> None:
        super().__init__("the request has run before")
        self.answer = answer


class IdempotentRequests:
    """Runs requests that may not be repeated.

    Args:
        signer: checks home tokens.
        table: the keys homed here.
        homes: finds other homes.
        claims: finds a home for keys without a token.
        relay: passes requests on to their home.
        clock: its wall clock judges the tokens' expiry.
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
        """Run the request at its home, or return what is known of an earlier attempt.

        Raises:
            NotRunError: neither this attempt nor an earlier one was run.
            OutcomeUnknownError: one of them may have been.
            KeptAnswerError: an earlier attempt was answered, as given in the error.
        """
        if not request.key:
            raise IdempotencyKeyRequiredError(
                "a request that may not be repeated needs an Idempotency-Key: "
                "the home token of a look-up, '.', and a part of your own"
            )
        token = self._home_token(request.key)
        home = self._homes.resolve(token.instance)
        if home is not None and home.instance == self._homes.own_instance():
            return self._run_at_home(request, token, deadline, run_once)
        if request.relayed:
            raise HomeUnreachableError("the key's home is not here", 1.0)
        return self._run_elsewhere(request, token.instance, deadline)

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
                return self._run_elsewhere(request, token.instance, deadline)
            if record is None:
                return self._run_first(request, deadline, run_once)
            remaining = max(0.0, deadline - steady_seconds())
            ended = self._table.wait(record, remaining)
            if ended is not None:
                raise _earlier_outcome(ended)

    def _run_first(
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
        pieces = _KeptPieces(answer, request.key, self._table)
        return msgspec.structs.replace(answer, pieces=pieces)

    def _run_elsewhere(
        self, request: CallerRequest, instance: str, deadline: float
    ) -> StreamedAnswer:
        """Pass the request on to its home.

        A failed connect sends nothing, so another daemon may be tried once it is known to have
        taken the home's keys over.
        """
        give_up_at = min(deadline, steady_seconds() + _HOME_CHANGE_SECONDS)
        tried = ""
        while True:
            home = self._homes.resolve(instance)
            is_other = home is not None and home.instance != self._homes.own_instance()
            if home is not None and is_other and home.instance != tried:
                try:
                    return self._relay.relay(home, request, deadline)
                except ConnectFailedError:
                    tried = home.instance
                except NoRoomError as error:
                    # True of this attempt, but the home alone knows of an earlier one.
                    raise HomeUnreachableError(error.message, 1.0) from error
            if home is None or steady_seconds() >= give_up_at:
                raise HomeUnreachableError("the key's home cannot be reached", 1.0)
            time.sleep(_HOME_CHANGE_PAUSE_SECONDS)


class _KeptPieces(Iterator[bytes]):
    """Passes an answer's body on and keeps it for repeats of the request."""

    def __init__(self, answer: StreamedAnswer, key: str, table: KeyTable) -> None:
        self._answer = answer
        self._key = key
        self._table = table
        self._kept: bytearray | None = bytearray()
        self._ended = False

    def __next__(self) -> bytes:
        try:
            piece = next(self._answer.pieces)
        except StopIteration:
            self._finish()
            raise
        except BaseException:
            self._end_unknown()
            raise
        self._keep(piece)
        return piece

    def close(self) -> None:
        """Read the rest, so that a repeat gets the answer though this caller went away."""
        try:
            while not self._ended:
                next(self)
        except (StopIteration, OutcomeUnknownError):
            return

    def _keep(self, piece: bytes) -> None:
        if self._kept is None:
            return
        self._kept += piece
        if len(self._kept) > _MAX_KEPT_BODY_BYTES:
            self._kept = None

    def _finish(self) -> None:
        self._ended = True
        body = None if self._kept is None else bytes(self._kept)
        answer = KeptAnswer(self._answer.status, self._answer.headers, body)
        self._table.finish(self._key, answer)

    def _end_unknown(self) -> None:
        self._ended = True
        self._table.mark_unknown(self._key)


def _fingerprint(request: CallerRequest) -> str:
    return f"{request.service} {request.forwarded.method} {request.forwarded.target}"


def _earlier_outcome(record: KeyRecord) -> KitekeelError:
    if record.state is KeyState.FINISHED and record.answer is not None:
        return KeptAnswerError(record.answer)
    return OutcomeUnknownError("an earlier attempt may have run; it is not run again")
