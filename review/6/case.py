"""Case 6: a router is killed; the client library sends requests that it had forwarded once more."""

import asyncio
import random
import signal
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from harness import HOST, TROUBLE, Discovery, Engine, NotRun, Stage, free_port, play, settings  # noqa: E402

from sorreldock.client import Client, ClientError, ClientSettings, Request  # noqa: E402

REQUESTS, RESULT_S = 8, 10.0


async def case(stage: Stage) -> bool:
    record = stage.record
    engines = [Engine(f"s-{n}", record, first_s=0.05) for n in range(3)]
    for engine in engines:
        await engine.start()
    discovery = Discovery(record, *engines)
    await discovery.start()
    # The class may not be repeated. (FLEET: settings "may give a class another effect than the site does".)
    made = settings(category={"effect": "unsafe"})
    fronts = [f"{HOST}:{free_port()}" for _ in range(2)]
    for index, front in enumerate(fronts):
        operator = (
            f'[kserve]\nlisten = "{front}"\nmodels = ["desc"]\n[engines]\nprotocols = ["http", "kserve"]\n'
        )
        stage.router(f"n{index}", discovery, {**made, "me": index}, operator).start()
    for router in stage.routers:
        await router.ready()

    async def ask(client: Client, key: str) -> str:
        request = Request("alt-text", f"describe <{key}>".encode(), tenant="state-news", session=key)
        try:
            whole = await client.ask(request, 10.0)
            result = f"answered by {whole.router}, {whole.attempts} attempt(s), {len(whole.events)} events"
        except ClientError as error:
            result = f"{type(error).__name__}: {error} ({error.attempts} attempt(s))"
        record(f"client: <{key}> {result}")
        return result

    # The library's defaults: one retry, and no class declared safe to repeat.
    async with Client(fronts, ClientSettings(), protocol="kserve", rng=random.Random(1)) as client:
        for turn in range(2):  # both routers get a connection, which has completed calls
            await asyncio.gather(*(ask(client, f"before-{turn}-{n}") for n in range(REQUESTS)))
        for engine in engines:
            engine.first_s = 1.0
        arrived = asyncio.Event()

        def note(key: str) -> None:
            if sum(name.startswith("case-") for engine in engines for _, name in engine.runs) == REQUESTS:
                arrived.set()

        for engine in engines:
            engine.on_run = note
        calls = [asyncio.create_task(ask(client, f"case-{n}")) for n in range(REQUESTS)]
        try:
            await asyncio.wait_for(arrived.wait(), 5.0)
        except TimeoutError:
            raise NotRun("the engines did not get all requests") from None
        await asyncio.sleep(0.3)
        if TROUBLE:
            record("platform: kills router n0")
            stage.routers[0].signal(signal.SIGKILL)
        await asyncio.gather(*calls)
        await asyncio.sleep(0.5)
    runs = Counter(key for engine in engines for _, key in engine.runs)
    twice = sorted(key for key, count in runs.items() if count > 1)
    record(f"requests run more than once, of a class that may not be repeated: {', '.join(twice) or 'none'}")
    return not twice


play(str(HERE), case)
