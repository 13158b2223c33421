"""A small HTTP/1.1 server and client for the stand-ins (standard library)."""
import asyncio
import json
import urllib.parse


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
        self.headers = headers
        self.body = json.loads(body) if body else {}


async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return first.decode().strip(), headers, body


async def serve(address, handle):
    """`handle(request)` returns (status, object); None closes the channel."""

    async def talk(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                answer = await handle(
                    Request(method, target, message[1], message[2]))
                if answer is None:
                    break
                status, value = answer
                body = json.dumps(value).encode()
                writer.write(
                    (f"HTTP/1.1 {status} x\r\nContent-Type: application/json"
                     f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() +
                    body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(talk, address[0], address[1],
                                      limit=1 << 24)


async def call(address, method, target, body=None, headers=None, timeout=3.0):
    """One call on a channel of its own. Returns (status, object), or (0, {})
    when there is no answer."""
    text = json.dumps(body).encode() if body is not None else b""
    lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(text)}",
             "Connection: close"]
    fields = {"Host": f"{address[0]}:{address[1]}"}
    fields.update(headers or {})
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(
                address[0], address[1], limit=1 << 24)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)
            message = await read_message(reader)
            if message is None:
                return 0, {}
            status = int(message[0].split(" ")[1])
            try:
                return status, json.loads(message[2] or b"{}")
            except ValueError:
                return status, {}
    except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()
