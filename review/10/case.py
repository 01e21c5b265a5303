"""Case 10: an upgrade of a router whose KServe front is on; the new process exits."""

import asyncio
import signal
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from harness import HOST, TROUBLE, Discovery, Engine, Stage, console, free_port, play, settings  # noqa: E402

READY_S = 6.0  # DAYS: "SIGTERM reaches the old process when the new process says yes, within 6 s"


async def case(stage: Stage) -> bool:
    record = stage.record
    engine = Engine("s-0", record)
    await engine.start()
    discovery = Discovery(record, engine)
    await discovery.start()
    listener = socket.create_server((HOST, 0))  # the platform holds the clients' listening socket
    listen = f"{HOST}:{listener.getsockname()[1]}"
    front, consoles = f"{HOST}:{free_port()}", [f"{HOST}:{free_port()}" for _ in range(2)]
    operator = f'[kserve]\nlisten = "{front}"\nmodels = ["desc"]\n[engines]\nprotocols = ["http", "kserve"]\n'
    shared = {"RELAY_INHERITED_FD": "4"}

    def process(number: int):
        router = stage.router(
            "n0",
            discovery,
            settings(balancers=1),
            operator,
            {**shared, "RELAY_CONSOLE": consoles[number]},
            listen=listen,
        )
        router.start(listener)
        return router

    old = process(0)
    await old.ready()
    record(f"old process: console says {await console(consoles[0], 'ready')!r}")
    held = True
    if TROUBLE:
        record("platform: starts `run` once more; only the console's address differs")
        new = process(1)
        answer, until = "", asyncio.get_running_loop().time() + READY_S
        while asyncio.get_running_loop().time() < until and new.status is None:
            answer = await console(consoles[1], "ready")
            if answer.startswith("ok"):
                break
            await asyncio.sleep(0.05)
        record(f"new process: console says {answer!r}, exit status {new.status}")
        held = answer.startswith("ok") and new.status is None
        if held:
            record("platform: SIGTERM to the old process")
            old.signal(signal.SIGTERM)
            await asyncio.sleep(3.0)
            held = new.status is None
            record(f"new process: exit status {new.status}")
        for line in new.log().splitlines()[-3:]:
            record(f"log: {line}")
    else:
        await asyncio.sleep(2.0)
        answer = await console(consoles[0], "ready")
        record(f"old process: console says {answer!r}, exit status {old.status}")
        held = answer.startswith("ok") and old.status is None
    return held


play(str(HERE), case)
