"""A caller that uses the project's client library, in a process of its own.

It reads one JSON object a line from standard input (`class`, `body`, `timeout_s`), makes one call for each,
and writes the result of each as one line. Its client repeats nothing: `max_retries` is 0 and no class is
declared safe to repeat.
"""

from __future__ import annotations

import asyncio
import json
import sys

from sorreldock.client import Client, ClientError, ClientSettings, Request


async def call(client: Client, order: dict[str, object]) -> dict[str, object]:
    request = Request(
        rpc_class=str(order["class"]), tenant="state-news", body=str(order["body"]).encode(), session="s1"
    )
    try:
        whole = await client.ask(request, timeout_s=float(str(order["timeout_s"])))
        return {
            "result": "Whole",
            "router": whole.router,
            "attempts": whole.attempts,
            "retries": whole.retries,
        }
    except ClientError as error:
        return {
            "result": type(error).__name__,
            "cause": str(error),
            "router": error.router,
            "attempts": error.attempts,
            "may_have_run": error.may_have_run,
        }


async def main() -> None:
    async with Client(sys.argv[2:], ClientSettings(max_retries=0), protocol=sys.argv[1]) as client:
        while line := await asyncio.to_thread(sys.stdin.readline):
            print(json.dumps(await call(client, json.loads(line))), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
