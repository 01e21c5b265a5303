"""Case 10: a gRPC client sends 100 requests at once on a new connection; none gets an answer."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import h2.config  # noqa: E402
import h2.connection  # noqa: E402
import h2.errors  # noqa: E402
import h2.events  # noqa: E402
from harness import HOST, TROUBLE, Discovery, Engine, Record, Stage, free_port, pb, play, settings  # noqa: E402

# RFC 9113, 5.1.2 and 6.5.2: before the server's SETTINGS there is no limit; one should not be under 100.
REQUESTS, EXPIRES_S = 100, 5.0
HEADERS = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", "/inference.GRPCInferenceService/ModelInfer"),
    (":authority", "router"),
    ("te", "trailers"),
    ("content-type", "application/grpc"),
    ("grpc-timeout", f"{EXPIRES_S:.0f}S"),
    ("sorreldock-class", "alt-text"),
    ("sorreldock-tenant", "state-news"),
]


class Calls:
    """The calls of one gRPC connection, and how each ended."""

    def __init__(self, record: Record, limit: int) -> None:
        self.record, self.limit = record, limit
        self.wire = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=True, header_encoding="utf-8")
        )
        self.wire.initiate_connection()
        self.waiting = [f"r{n}" for n in range(REQUESTS)]
        self.names: dict[int, str] = {}  # of the requests sent, by stream
        self.results: dict[int, str] = {}

    def send(self) -> bytes:
        """Return what is to be written: as many requests as the limit on open ones allows."""
        while self.waiting and len(self.names) - len(self.results) < self.limit:
            number, name = self.wire.get_next_available_stream_id(), self.waiting.pop(0)
            self.names[number] = name
            self.wire.send_headers(number, HEADERS)
            request = pb.ModelInferRequest(model_name="desc", raw_input_contents=[f"<{name}>".encode()])
            message = request.SerializeToString()
            self.wire.send_data(number, b"\0" + len(message).to_bytes(4, "big") + message, end_stream=True)
        return self.wire.data_to_send()

    def receive(self, data: bytes) -> None:
        for event in self.wire.receive_data(data):
            self.handle(event)

    def handle(self, event: h2.events.Event) -> None:
        match event:
            case h2.events.DataReceived():
                self.wire.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            case h2.events.TrailersReceived() | h2.events.ResponseReceived():
                if status := dict(event.headers).get("grpc-status"):
                    self.results.setdefault(event.stream_id, f"grpc-status {status}")
            case h2.events.StreamReset():
                self.results.setdefault(event.stream_id, f"reset {event.error_code!r}")
            case h2.events.RemoteSettingsChanged():
                self.limit = self.wire.remote_settings.max_concurrent_streams
                self.record(f"client: the router allows {self.limit} open requests")
            case h2.events.ConnectionTerminated():
                self.record(f"client: GOAWAY, error {event.error_code}, last stream {event.last_stream_id}")
                for number in self.names:
                    if number > event.last_stream_id:  # told as not processed: may be sent again
                        self.results.setdefault(number, "left out by GOAWAY, may be sent again")


async def case(stage: Stage) -> bool:
    record = stage.record
    engines = [Engine(f"s-{n}", record, events=1, first_s=0.2) for n in range(4)]
    for engine in engines:
        await engine.start()
    discovery = Discovery(record, *engines)
    await discovery.start()
    front = f"{HOST}:{free_port()}"
    operator = f'[kserve]\nlisten = "{front}"\nmodels = ["desc"]\n[engines]\nprotocols = ["http", "kserve"]\n'
    router = stage.router("n0", discovery, settings(balancers=1), operator)
    router.start()
    await router.ready()

    reader, writer = await asyncio.open_connection(HOST, int(front.rpartition(":")[2]))
    calls = Calls(record, REQUESTS if TROUBLE else 0)
    writer.write(calls.send())
    if TROUBLE:
        record(
            f"client: opens a connection, writes {len(calls.names)} requests at once, all to the last byte"
        )
    else:
        record("client: opens a connection and waits for the router's limit on open requests")
    try:
        # The slack of half a second that FLEET gives before an answer counts as lost, and 50 ms.
        async with asyncio.timeout(EXPIRES_S + 0.55):
            while len(calls.results) < REQUESTS:
                data = await reader.read(65536)
                if not data:
                    record("client: the router has closed the connection")
                    break
                calls.receive(data)
                writer.write(calls.wire.data_to_send() if TROUBLE else calls.send())
    except (TimeoutError, ConnectionError) as error:
        record(f"client: {error!r}")
    for result, count in sorted(Counter(calls.results.values()).items()):
        record(f"client: {count} requests: {result}")
    unanswered = [name for number, name in calls.names.items() if number not in calls.results]
    record(f"sent {len(calls.names)}, without an answer {len(unanswered)}: {', '.join(unanswered) or 'none'}")
    record(f"up to now run by engines: {sum(len(engine.runs) for engine in engines)}")
    return not unanswered and not calls.waiting


play(str(HERE), case)
