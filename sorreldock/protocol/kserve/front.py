"""The front for KServe v2 over gRPC, where each stream carries one RPC or several in turn."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

import trio
from google.protobuf.message import Message
from h2.errors import ErrorCodes
from hyperframe.frame import GoAwayFrame, SettingsFrame

from ...kserve import kserve_pb2 as pb
from ...kserve.framing import Code, GrpcError
from ...routing.types import Log, RPCDispatcher
from ...transport.connection import Connection, ConnectionLost
from .. import front as limits
from ..front import Front, Resources
from .call import ClientStream, parse
from .connection import ClientConnection
from .metadata import FrontSettings

__all__ = ["FrontSettings", "KserveFront"]


class KserveFront(Front[ClientConnection]):
    """The front for KServe v2 over gRPC."""

    connection_bytes = 64 * 1024  # most of it for the states of HTTP/2 and HPACK

    def __init__(
        self,
        settings: FrontSettings,
        version: str,
        core: RPCDispatcher,
        is_ready: Callable[[], bool],
        resources: Resources,
        log: Log,
    ) -> None:
        super().__init__(core, is_ready, resources, log)
        self.settings = settings
        self.version = version
        self.accepting = True
        # Streams between two messages, the one that has waited longest first.
        self.idle_streams: dict[ClientStream, None] = {}

    def evict_idle_stream(self) -> None:
        """End the stream that has waited longest for a message, so that the next one finds memory."""
        stream = next(iter(self.idle_streams), None)
        if stream is not None:
            del self.idle_streams[stream]
            stream.evict()

    def create_client(self, connection: Connection) -> ClientConnection:
        return ClientConnection(self, connection)

    def check_model(self, name: str) -> None:
        """Raise GrpcError unless the model is configured."""
        if name not in self.settings.models:
            raise GrpcError(Code.NOT_FOUND, f"unknown model {name[:100]}")

    def answer_locally(self, method: str, message: bytes) -> Message:
        """Return the answer to a method that needs no server; raise GrpcError if there is none."""
        match method:
            case "ServerLive":
                parse(pb.ServerLiveRequest(), message)
                return pb.ServerLiveResponse(live=True)
            case "ServerReady":
                parse(pb.ServerReadyRequest(), message)
                return pb.ServerReadyResponse(ready=self.is_ready())
            case "ServerMetadata":
                parse(pb.ServerMetadataRequest(), message)
                return pb.ServerMetadataResponse(name="sorreldock", version=self.version)
            case "ModelReady":
                request = parse(pb.ModelReadyRequest(), message)
                self.check_model(request.name)
                return pb.ModelReadyResponse(ready=self.is_ready())
            case _:
                raise GrpcError(Code.UNIMPLEMENTED, f"{method[:100]} is not served here")

    async def refuse_connection(self, connection: Connection) -> None:
        goaway = GoAwayFrame(0, last_stream_id=0, error_code=ErrorCodes.ENHANCE_YOUR_CALM)
        with suppress(ConnectionLost), trio.move_on_after(limits.REFUSAL_TIMEOUT_S):
            await connection.send(SettingsFrame(0).serialize() + goaway.serialize())
            await connection.lingering_close(limits.REFUSAL_TIMEOUT_S, limits.LINGERING_CLOSE_QUIET_S)

    async def announce_close(self) -> None:
        self._send_goaways()

    async def drain(self) -> None:
        self.accepting = False
        self._send_goaways()

    def resume(self) -> None:
        self.accepting = True

    def _send_goaways(self) -> None:
        """Send GOAWAY on all connections: a first one while still accepting, then the final one."""
        for client in list(self.clients):
            client.send_goaway()
            try:
                client.wire.queue_output()  # don't wait for a client that reads nothing
            except ConnectionLost:
                client.scope.cancel()
