"""Steps for the small HTTP server."""

from __future__ import annotations

import asyncio
import errno
from random import Random
import socket

from behave import given
from behave import then
from behave import when
from pistachiohook_core.addresses import Address
from pistachiohook_daemon.serving import HttpResponse
from pistachiohook_daemon.serving import serve_http
from ports import find_port
from tornado.httpclient import AsyncHTTPClient

#: Request for the route that is answered late.
REQUEST = b'GET /slow HTTP/1.1\r\nHost: test\r\n\r\n'

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
        address = Address('127.0.0.1', find_port())
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


@given('a server with a route that is answered after {seconds:g} s')
def start_slow(context, seconds):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.started = 0

    async def answer(_):
        context.started += 1
        await asyncio.sleep(seconds)
        return HttpResponse(body=b'late')

    async def serve():
        address = Address('127.0.0.1', find_port())
        return address, serve_http(
            address, {'GET /slow': answer}, lambda *_, **__: None
        )

    context.address, context.server = context.loop.run_until_complete(serve())


@when(
    '{number:d} requests are in progress, {silent:d} connections have sent'
    ' nothing yet, and the server finishes within {seconds:g} s'
)
def finish_during_requests(context, number, silent, seconds):
    async def finish():
        connections = [
            await asyncio.open_connection(
                context.address.host, context.address.port
            )
            for _ in range(number + silent)
        ]
        for _, writer in connections[:number]:
            writer.write(REQUEST)
        while context.started < number:
            await asyncio.sleep(0.01)
        context.connections = connections
        context.silent = connections[number:]
        context.answers = [
            asyncio.ensure_future(reader.readuntil(b'late'))
            for reader, _ in connections
        ]
        context.finishing = asyncio.ensure_future(
            context.server.finish(seconds)
        )
        context.began_at = context.loop.time()
        await asyncio.sleep(0)

    context.loop.run_until_complete(finish())


@when('the {number:d} connections send their requests {seconds:g} s later')
def send_later(context, number, seconds):
    async def send():
        await asyncio.sleep(seconds)
        assert len(context.silent) == number
        for _, writer in context.silent:
            writer.write(REQUEST)

    context.loop.run_until_complete(send())


@then('all {number:d} requests are answered before the server has finished')
def check_all_answered(context, number):
    async def wait():
        await context.finishing
        # The answers are in the sockets' buffers now.
        await asyncio.sleep(0.02)
        return [answer for answer in context.answers if answer.done()]

    done = context.loop.run_until_complete(asyncio.wait_for(wait(), TIMEOUT))
    assert len(done) == number, done
    assert all(answer.result().endswith(b'late') for answer in done)


@then('new connections are refused')
def check_connections_refused(context):
    with socket.socket() as probe:
        code = probe.connect_ex((context.address.host, context.address.port))
    assert code == errno.ECONNREFUSED, code


@then('the server has finished within {seconds:g} s')
def check_finished(context, seconds):
    context.loop.run_until_complete(
        asyncio.wait_for(context.finishing, seconds)
    )
    for answer in context.answers:
        answer.cancel()
