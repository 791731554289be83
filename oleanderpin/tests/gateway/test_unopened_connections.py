"""Connections that are not open yet when their listener drains."""

import asyncio
import socket

import uvloop

from ...gateway.listener import HttpListener
from ...gateway.messages import CallerRequest, Response
from ...testing.builders import free_ports
from ...testing.gateway import request_bytes

_WAIT_S = 5.0


async def _serve(_request: CallerRequest) -> Response:
    return Response(200)


async def _response_of_drained(passes: int) -> bytes:
    """Drain after some passes of the loop; return what a caller reads."""
    listener = HttpListener(_serve)
    (port,) = free_ports(1)
    await listener.listen(f'127.0.0.1:{port}')
    with socket.create_connection(('127.0.0.1', port)) as caller:
        caller.sendall(request_bytes())
        caller.settimeout(_WAIT_S)
        for _pass in range(passes):
            await asyncio.sleep(0)
        await listener.drain(timeout_s=_WAIT_S)
        return await asyncio.to_thread(caller.recv, 1000)


def test_connection_that_opens_during_a_drain_is_served() -> None:
    """Guards against a reset of a request that arrived before the drain.

    A connection is opened in several passes of the event loop, so that the
    drain begins in each of them.
    """
    for passes in range(6):
        response = uvloop.run(_response_of_drained(passes))
        assert response.startswith(b'HTTP/1.1 200'), passes
