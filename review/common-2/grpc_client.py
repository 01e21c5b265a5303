"""A small gRPC client for KServe v2, with as many streams on its connection as a case wants."""

from __future__ import annotations

import asyncio

import h2.config
import h2.connection
import h2.events
from harness import Record, pb

from sorreldock.kserve.framing import GoAwayFilter


class Stream:
    """One stream: the messages received on it, and its final status."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.data = b""
        self.messages: list[bytes] = []
        self.status: str | None = None

    def feed(self, data: bytes) -> None:
        self.data += data
        while len(self.data) >= 5 and len(self.data) >= (end := 5 + int.from_bytes(self.data[1:5], "big")):
            self.messages.append(self.data[5:end])
            self.data = self.data[end:]


class GrpcClient:
    """One connection."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.wire = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=True, header_encoding="utf-8")
        )
        self.streams: dict[int, Stream] = {}
        self.closed = False
        self._goaways = GoAwayFilter(preface=False)  # open streams go on after a GOAWAY
        self._reading: asyncio.Task[None] | None = None

    async def connect(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        self.wire.initiate_connection()
        self._writer.write(self.wire.data_to_send())
        self._reading = asyncio.create_task(self._read())

    def open(self, method: str, **metadata: str) -> Stream:
        """Open a stream for a method, without a message."""
        stream = Stream(self.wire.get_next_available_stream_id())
        self.streams[stream.number] = stream
        fields = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", f"/inference.GRPCInferenceService/{method}"),
            (":authority", "router"),
            ("te", "trailers"),
            ("content-type", "application/grpc"),
            ("sorreldock-class", "alt-text"),
            ("sorreldock-tenant", "state-news"),
            *((name.replace("_", "-"), value) for name, value in metadata.items()),
        ]
        self.wire.send_headers(stream.number, fields)
        return stream

    def send(self, stream: Stream, name: str, end: bool = False) -> None:
        """Send one request message, whose key for the engines is `name`."""
        request = pb.ModelInferRequest(model_name="desc", raw_input_contents=[f"<{name}>".encode()])
        message = request.SerializeToString()
        data = b"\0" + len(message).to_bytes(4, "big") + message
        self.wire.send_data(stream.number, data, end_stream=end)
        self._writer.write(self.wire.data_to_send())

    async def _read(self) -> None:
        try:
            while data := await self._reader.read(65536):
                rest, goaways = self._goaways.strip(data)
                for goaway in goaways:
                    self.record(f"client: GOAWAY, last stream {goaway.last_stream_id}")
                for event in self.wire.receive_data(rest):
                    self._handle(event)
                self._writer.write(self.wire.data_to_send())
        except ConnectionError as error:
            self.record(f"client: {error!r}")
        self.closed = True
        self.record("client: the connection has ended")

    def _handle(self, event: h2.events.Event) -> None:
        stream = self.streams.get(getattr(event, "stream_id", None) or 0)
        if stream is None:
            return
        match event:
            case h2.events.DataReceived():
                self.wire.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                stream.feed(event.data)
            case h2.events.TrailersReceived() | h2.events.ResponseReceived():
                stream.status = dict(event.headers).get("grpc-status", stream.status)
            case h2.events.StreamReset() if stream.status is None:
                stream.status = f"reset {event.error_code}"
            case _:
                pass
