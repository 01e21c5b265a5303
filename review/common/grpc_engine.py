"""An engine that speaks KServe v2 over gRPC, on the h2 package that the router is built with.

It runs a request once its last byte has arrived, goes on with running work after a cancel or a lost
connection, and answers each `ModelStreamInfer` and `ModelInfer` with one message and status 0.
"""

from __future__ import annotations

import asyncio
import contextlib

import h2.config
import h2.connection
import h2.events
import h2.exceptions
from standins import Engine

from sorreldock.kserve import kserve_pb2 as pb
from sorreldock.kserve.framing import frame


class GrpcEngine(Engine):
    """An engine that speaks gRPC."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding="utf-8")
        )
        connection.initiate_connection()
        writer.write(connection.data_to_send())
        heads: dict[int, dict[str, str]] = {}
        bodies: dict[int, bytes] = {}
        tasks = set()
        while data := await reader.read(65536):
            for event in connection.receive_data(data):
                match event:
                    case h2.events.RequestReceived():
                        heads[event.stream_id] = {str(k): str(v) for k, v in event.headers}
                        bodies[event.stream_id] = b""
                    case h2.events.DataReceived():
                        bodies[event.stream_id] += event.data
                        connection.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                    case h2.events.StreamEnded():
                        number = event.stream_id
                        task = asyncio.create_task(
                            self.run(connection, writer, number, heads[number], bodies[number])
                        )
                        tasks.add(task)
                        task.add_done_callback(tasks.discard)
            writer.write(connection.data_to_send())
        await asyncio.gather(*tasks)  # running work goes on

    async def run(
        self,
        connection: h2.connection.H2Connection,
        writer: asyncio.StreamWriter,
        number: int,
        head: dict[str, str],
        body: bytes,
    ) -> None:
        request = pb.ModelInferRequest.FromString(body[5:])
        text = request.raw_input_contents[0][4:]  # the element begins with its length
        self.begin(request.id, text)
        await asyncio.sleep(self.first_s_of(request.id, text))
        answer = pb.ModelInferResponse(model_name=request.model_name, id=request.id)
        is_stream = head[":path"].endswith("/ModelStreamInfer")
        message = pb.ModelStreamInferResponse(infer_response=answer) if is_stream else answer
        with contextlib.suppress(h2.exceptions.ProtocolError, OSError):
            connection.send_headers(number, [(":status", "200"), ("content-type", "application/grpc")])
            connection.send_data(number, frame(message.SerializeToString()))
            connection.send_headers(number, [("grpc-status", "0")], end_stream=True)
            writer.write(connection.data_to_send())
