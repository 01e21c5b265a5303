"""Case 6: a router is killed; the client library sends unsafe requests that it had forwarded once more."""

import asyncio
import random
import signal
import socket
import struct
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from harness import HOST, TROUBLE, Discovery, Engine, NotRun, Record, Stage, play, settings  # noqa: E402

from sorreldock.client import Client, ClientError, ClientSettings, Request  # noqa: E402

REQUESTS = 8
KILL_AFTER_S = 0.1  # after the engines have got the last byte of all requests


class Network:
    """The way to one router, on an address of its own: it passes bytes on as they come.

    Where the router's process has died it does what PROTOCOL says of the network: "A process that dies resets
    its connections, and new ones are refused."
    """

    def __init__(self, record: Record, router: str) -> None:
        self.record, self.router = record, router
        self.address = ""
        self.is_dead = False
        self._server: asyncio.Server | None = None
        self._clients: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def process_died(self) -> None:
        assert self._server is not None
        self.is_dead = True
        self._server.close()
        self.record(f"network: resets {len(self._clients)} connections to the dead router, refuses new ones")
        for writer in list(self._clients):
            sock = writer.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.router.rpartition(":")
        to_router: asyncio.StreamWriter | None = None
        self._clients.add(writer)
        try:
            from_router, to_router = await asyncio.open_connection(host, int(port))
            forward = asyncio.create_task(self._pass_on(reader, to_router))
            await self._pass_on(from_router, writer)
            forward.cancel()
        except ConnectionError:
            pass
        finally:
            if not self.is_dead:
                self._clients.discard(writer)
                writer.close()
            if to_router is not None:
                to_router.close()

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        if not self.is_dead:  # an end that comes from a living process is passed on as such
            await asyncio.sleep(0.05)
            if not self.is_dead and writer.can_write_eof():
                writer.write_eof()


async def ask(client: Client, record: Record, key: str) -> None:
    body = f'{{"messages":[{{"role":"user","content":"<{key}>"}}]}}'.encode()
    request = Request("alt-text", body, tenant="state-news", session=key)
    try:
        whole = await client.ask(request, 10.0)
        result = f"answered by {whole.router}, {whole.attempts} attempt(s), {whole.retries} retries"
    except ClientError as error:
        result = f"{type(error).__name__}: {error} ({error.attempts} attempt(s))"
    record(f"caller: <{key}> {result}")


async def case(stage: Stage) -> bool:
    record = stage.record
    engines = [Engine(f"s-{n}", record, first_s=0.05) for n in range(3)]
    for engine in engines:
        await engine.start()
    discovery = Discovery(record, *engines)
    await discovery.start()
    # FLEET: settings "may give a class another effect than the site does"; this one may not be repeated.
    made = settings(category={"effect": "unsafe"})
    for index in range(2):
        stage.router(f"n{index}", discovery, {**made, "me": index}).start()
    ways = []
    for router in stage.routers:
        await router.ready()
        ways.append(Network(record, router.listen))
        await ways[-1].start()

    # The library's defaults, so no class is declared safe to repeat; no retries on top.
    chosen = ClientSettings(max_retries=0)
    async with Client([way.address for way in ways], chosen, protocol="http", rng=random.Random(1)) as client:
        for turn in range(2):  # connections that have completed calls
            await asyncio.gather(*(ask(client, record, f"before-{turn}-{n}") for n in range(REQUESTS)))
        for engine in engines:
            engine.first_s = 1.0
        arrived = asyncio.Event()

        def note(key: str) -> None:
            if sum(name.startswith("case-") for engine in engines for _, name in engine.runs) == REQUESTS:
                arrived.set()

        for engine in engines:
            engine.on_run = note
        calls = [asyncio.create_task(ask(client, record, f"case-{n}")) for n in range(REQUESTS)]
        try:
            await asyncio.wait_for(arrived.wait(), 5.0)
        except TimeoutError:
            raise NotRun("the engines did not get all requests") from None
        await asyncio.sleep(KILL_AFTER_S)
        if TROUBLE:
            record("platform: kills router n0")
            ways[0].is_dead = True
            stage.routers[0].signal(signal.SIGKILL)
            ways[0].process_died()
        await asyncio.gather(*calls)
        await asyncio.sleep(0.5)
    runs = Counter(key for engine in engines for _, key in engine.runs)
    twice = sorted(key for key, count in runs.items() if count > 1)
    record(f"requests run more than once, of a class that may not be repeated: {', '.join(twice) or 'none'}")
    return not twice


play(str(HERE), case)
