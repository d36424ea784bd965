"""A small HTTP/1.1 client for the platform's and the operator's calls."""

import asyncio
import json


async def call(address, method, path, body=None, timeout=1.0):
    """Return status and body of a response; status 0 without one."""
    try:
        async with asyncio.timeout(timeout):
            return await _call(address, method, path, body)
    except (OSError, ValueError, IndexError, EOFError):
        return 0, b''


async def _call(address, method, path, body):
    reader, writer = await asyncio.open_connection(*address)
    try:
        content = body if isinstance(body, bytes) else b''
        if body is not None and not isinstance(body, bytes):
            content = json.dumps(body).encode()
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n'
            'Content-Type: application/json\r\nConnection: close\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'
        )
        writer.write(head.encode() + content)
        await writer.drain()
        status = int((await reader.readline()).split()[1])
        length = 0
        while True:
            line = await reader.readline()
            if line in (b'\r\n', b''):
                break
            name, _, value = line.partition(b':')
            if name.strip().lower() == b'content-length':
                length = int(value)
        return status, await reader.readexactly(length)
    finally:
        writer.close()
