"""The ledger of the memory that a process holds for its peers, without I/O.

Each holder takes bytes from its account before it holds them and gives them back after. An account has a
limit of its own, and all accounts together have one: limits for each item, however low, bound no sum. A count
approximates the memory of the objects that are held, not only of the bytes received.
"""

from __future__ import annotations

from enum import Enum


class Account(Enum):
    """What memory is held for; the value is the name in the log."""

    CONNECTIONS = "connections"  # the fixed costs of clients' connections
    STREAMS = "streams"  # open gRPC streams with their header fields
    PAYLOADS = "payloads"  # requests that are received or wait, and what clients send ahead
    EVENTS = "events"  # parts of answers on their way to clients


# Of the ledger's limit. Together they exceed it, since accounts are rarely full at the same time.
SHARES = {
    Account.CONNECTIONS: 0.6,
    Account.STREAMS: 0.4,
    Account.PAYLOADS: 0.8,
    Account.EVENTS: 0.4,
}


class AccountBudget:
    """The bytes held under one account, which count in its ledger as well."""

    def __init__(self, ledger: MemoryLedger) -> None:
        self._ledger = ledger
        self.max_used = 0
        self.used = 0

    @property
    def is_full(self) -> bool:
        """Whether a limit is reached or exceeded."""
        return self.used >= self.max_used or self._ledger.used >= self._ledger.max_used

    def acquire(self, count: int, spared_share: float = 0.0) -> bool:
        """Take `count` bytes; return False if they would exceed a limit.

        `spared_share` of each limit is left for others.
        """
        total = self._ledger.used + count
        own_limit, total_limit = self.max_used, self._ledger.max_used
        if self.used + count > own_limit * (1.0 - spared_share) or total > total_limit * (1.0 - spared_share):
            return False
        self.hold(count)
        return True

    def hold(self, count: int) -> None:
        """Take `count` bytes that are held already, whatever the limits."""
        self.used += count
        self._ledger.used += count

    def release(self, count: int) -> None:
        """Give back `count` bytes."""
        self.used -= count
        self._ledger.used -= count


class Holding:
    """What one holder has taken from an account, so that it can give back all at its end."""

    __slots__ = ("account", "bytes")

    def __init__(self, account: AccountBudget) -> None:
        self.account = account
        self.bytes = 0

    def acquire(self, count: int) -> bool:
        """Take `count` bytes; return False if they would exceed a limit."""
        if not self.account.acquire(count):
            return False
        self.bytes += count
        return True

    def hold(self, count: int) -> None:
        """Take `count` bytes that are held already."""
        self.bytes += count
        self.account.hold(count)

    def release(self, count: int) -> None:
        """Give back up to `count` bytes."""
        count = min(count, self.bytes)
        self.bytes -= count
        self.account.release(count)

    def release_all(self) -> None:
        """Give back everything."""
        self.release(self.bytes)


class MemoryLedger:
    """The sum of all accounts and its limit, in bytes."""

    def __init__(self, max_used: int) -> None:
        self.used = 0
        self.accounts = {account: AccountBudget(self) for account in Account}
        self.resize(max_used)

    def __getitem__(self, account: Account) -> AccountBudget:
        return self.accounts[account]

    def resize(self, max_used: int) -> None:
        """Set the limit; what is held beyond a smaller one stays until it is given back."""
        self.max_used = max_used
        for account, share in SHARES.items():
            self.accounts[account].max_used = int(max_used * share)

    def figures(self) -> dict[str, int]:
        """Return the bytes held by account, for the log."""
        return {account.value: budget.used for account, budget in self.accounts.items()}
