"""The second front: KServe v2 over gRPC. Each stream carries one RPC, or one after the other."""

from __future__ import annotations

from collections.abc import Callable

from google.protobuf.message import Message

from ...kserve import kserve_pb2 as pb
from ...kserve.framing import Code, GrpcError
from ...routing.types import Log, RPCDispatcher
from ...transport.budget import DescriptorBudget, PayloadBudget
from ...transport.connection import Connection, ConnectionLost
from ..front import Front
from .call import parse
from .connection import ClientConnection
from .metadata import FrontSettings

__all__ = ["FrontSettings", "KserveFront"]


class KserveFront(Front[ClientConnection]):
    """The client connections that speak gRPC."""

    def __init__(
        self,
        settings: FrontSettings,
        version: str,
        core: RPCDispatcher,
        is_ready: Callable[[], bool],
        budget: DescriptorBudget,
        payloads: PayloadBudget,
        log: Log,
    ) -> None:
        super().__init__(core, is_ready, budget, payloads, log)
        self.settings = settings
        self.version = version
        self.accepting = True

    def create_client(self, connection: Connection) -> ClientConnection:
        return ClientConnection(self, connection)

    def known_model(self, name: str) -> None:
        if name not in self.settings.models:
            raise GrpcError(Code.NOT_FOUND, f"unknown model {name[:100]}")

    def local(self, method: str, message: bytes) -> Message:
        """The answers that need no engine."""
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
                self.known_model(request.name)
                return pb.ModelReadyResponse(ready=self.is_ready())
            case _:
                raise GrpcError(Code.UNIMPLEMENTED, f"{method[:100]} is not served here")

    async def linger(self) -> None:
        self._tell_going()

    async def drain(self) -> None:
        self.accepting = False
        self._tell_going()

    def resume(self) -> None:
        self.accepting = True

    def _tell_going(self) -> None:
        """GOAWAY to all: first while still accepting, then for good."""
        for client in list(self.clients):
            client.go_away()
            try:
                client.wire.hand_over()  # one that reads nothing must not keep the others waiting
            except ConnectionLost:
                client.scope.cancel()
