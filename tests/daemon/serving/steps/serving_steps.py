"""Steps for the small HTTP server."""

from __future__ import annotations

import asyncio
from random import Random
import socket

from behave import given
from behave import then
from behave import when
from pistachiohook_core.addresses import Address
from pistachiohook_daemon.serving import HttpResponse
from pistachiohook_daemon.serving import serve_http
from tornado.httpclient import AsyncHTTPClient

#: Timeout for requests and connections, in seconds.
TIMEOUT = 30.0


@given('a server with a plain route, a route with a name, and a failing route')
def start_server(context):
    context.loop = asyncio.new_event_loop()
    context.events = []

    async def answer_named(request):
        await asyncio.sleep(0)
        return HttpResponse(202, f'{request.name} '.encode() + request.body)

    def fail(request):
        raise ValueError(request.name)

    routes = {
        'GET /plain': lambda _: HttpResponse(body=b'plain'),
        'POST /named/': answer_named,
        'GET /failing': fail,
    }

    def report(event, **fields):
        context.events.append((event.number, fields))

    async def serve():
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            address = Address(*probe.getsockname())
        return address, serve_http(address, routes, report)

    context.address, server = context.loop.run_until_complete(serve())
    context.add_cleanup(context.loop.close)
    context.add_cleanup(server.stop)


@when('{method} {path} is requested')
def send_request(context, method, path):
    async def fetch():
        return await AsyncHTTPClient().fetch(
            f'http://{context.address}{path}',
            method=method,
            body=b'abc' if method == 'POST' else None,
            raise_error=False,
        )

    context.response = context.loop.run_until_complete(
        asyncio.wait_for(fetch(), TIMEOUT)
    )


@then('the status is {status:d} and the body "{body}"')
def check_response(context, status, body):
    assert context.response.code == status
    assert context.response.body.decode() == body


@then('the status is {status:d} and the body ""')
def check_empty_response(context, status):
    assert context.response.code == status
    assert not context.response.body


@then('event {number:d} was logged for "{path}"')
def check_logged(context, number, path):
    assert (number, path) in [
        (event, fields['path']) for event, fields in context.events
    ]


@when('{number:d} connections send random bytes')
def send_random(context, number):
    random = Random(1)

    async def send():
        for _ in range(number):
            _, writer = await asyncio.open_connection(
                context.address.host, context.address.port
            )
            writer.write(random.randbytes(200) + b'\r\n\r\n')
            await writer.drain()
            writer.close()

    context.loop.run_until_complete(asyncio.wait_for(send(), TIMEOUT))
