"""The soak judges daemons by what back ends told them, and by nothing that they could not read."""

import asyncio
import socket

import pytest
from loopback import free_address
from soak_announcement_log import Announcement, AnnouncementLog
from soak_back_end import SoakBackEnd

from kitekeel_adapter.adapter import HEADER_NAMES
from kitekeel_steering.proxied_messages import ProxiedAnswer, ProxiedRequest

RESPONSE_SECONDS = 0.2


def reply_to(request_id: str) -> bytes:
    return f"HTTP/1.1 503 X\r\nRequest-Id: {request_id}\r\n\r\n".encode()


def request_of(request_id: str) -> bytes:
    return (
        "GET /safe/1 HTTP/1.1\r\nHost: h\r\n"
        f"{HEADER_NAMES.request_id.decode()}: {request_id}\r\n"
        f"{HEADER_NAMES.target_instance.decode()}: b0\r\n\r\n"
    ).encode()


class LeftBackEnd(SoakBackEnd):
    """A back end whose caller may leave between its decision and its answer."""

    caller: socket.socket | None = None

    async def handle(self, request: ProxiedRequest) -> ProxiedAnswer:
        answer = await super().handle(request)
        if self.caller is not None:
            self.caller.close()
        return answer


@pytest.mark.parametrize("is_read", [True, False])
def test_a_pause_counts_as_asked_for_only_if_the_daemon_still_reads_the_answer(
    is_read: bool,
) -> None:
    """Guards against daemons that are blamed for an answer that they had given up before."""

    async def scenario() -> None:
        address = free_address()
        back_end = LeftBackEnd("b0", "n1", address, [])
        await back_end.start()
        back_end.pause_seconds = 1.0
        host, port = address.split(":")
        with socket.create_connection((host, int(port))) as caller:
            back_end.caller = None if is_read else caller
            caller.sendall(request_of("r1"))
            await asyncio.sleep(RESPONSE_SECONDS)
            assert len(back_end.announced) == is_read

    asyncio.run(scenario())


def test_an_unread_answer_takes_back_only_what_it_announced_itself() -> None:
    log = AnnouncementLog()
    for at, request_id in ((1.0, b"r1"), (2.0, b"r11"), (3.0, b"r1")):
        log.add(Announcement("b0", 0, "127.0.2.1", at, request_id))
    log.drop_unread(reply_to("r1"))
    assert [each.at for each in log] == [1.0, 2.0]
    log.drop_unread(reply_to("r2"))
    assert [each.at for each in log] == [1.0, 2.0]
