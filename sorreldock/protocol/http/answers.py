"""The answers that a connection gives without the core."""

from __future__ import annotations

CLOSE = (b"connection", b"close")


class ImmediateAnswer(Exception):
    """Raised to answer a request with a plain status and text, without the core."""

    def __init__(self, status: int, text: str, headers: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        super().__init__(text)
        self.status, self.text, self.headers = status, text, headers


class PayloadRefused(ImmediateAnswer):
    """Raised to refuse a request whose body does not fit into memory, and to discard the rest of the body."""

    def __init__(self) -> None:
        super().__init__(503, "too many large requests", ((b"retry-after", b"1"),))
