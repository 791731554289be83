"""Failures: a connection that is gone is still served by its timer."""

import asyncio
import socket
from typing import Any

import uvloop

from ...gateway.caller_connection import CallerConnection
from ...gateway.listener import HttpListener, ListenerOptions, StaticLimits
from ...gateway.messages import CallerRequest, Response
from ...testing.gateway import request_bytes

_IDLE_S = 0.1
_LIMITS = StaticLimits(idle_timeout_s=_IDLE_S)


def test_request_that_ends_after_its_connection_starts_no_timer() -> None:
    """Guards against timers of connections that are gone.

    A request that must not be cancelled ends after its caller has gone. Its
    connection then started the idle time-out, which failed with
    AttributeError, or read the queue of another connection's descriptor.
    """
    errors: list[Any] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _loop, context: errors.append(context)
        )
        arrived, released = asyncio.Event(), asyncio.Event()

        async def serve(request: CallerRequest) -> Response:
            request.must_finish = True
            arrived.set()
            await released.wait()
            return Response(200)

        listener = HttpListener(serve, ListenerOptions(limits=lambda: _LIMITS))
        server = await loop.create_server(
            lambda: CallerConnection(listener), '127.0.0.1', 0
        )
        caller = socket.create_connection(server.sockets[0].getsockname())
        caller.sendall(request_bytes(method='POST', body=b'order'))
        await arrived.wait()
        caller.close()
        while listener.connections:
            await asyncio.sleep(0.01)
        released.set()
        await asyncio.sleep(_IDLE_S * 3)
        server.close()

    uvloop.run(run())
    assert errors == []
