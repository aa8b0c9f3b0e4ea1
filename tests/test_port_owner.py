"""The process behind a connection is found for sockets of either version of IP."""

import os
import socket

import pytest

from kitekeel_lab.port_owner import owner_of_port


@pytest.mark.parametrize("family", [socket.AF_INET, socket.AF_INET6])
def test_the_owner_of_a_connection_is_found(family: socket.AddressFamily) -> None:
    with socket.create_server(("127.0.0.1", 0)) as server, socket.socket(family) as client:
        port = server.getsockname()[1]
        if family == socket.AF_INET6:
            client.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 0)
            client.connect(("::ffff:127.0.0.1", port))
        else:
            client.connect(("127.0.0.1", port))
        own_port = client.getsockname()[1]
        assert owner_of_port(own_port, [os.getpid()]) == os.getpid()
        assert owner_of_port(own_port, []) is None
