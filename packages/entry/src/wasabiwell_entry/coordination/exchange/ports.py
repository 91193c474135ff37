"""Interfaces that the exchange requires from other layers and capabilities."""

from collections.abc import Iterable
from typing import Protocol

from wasabiwell_entry.state.exchange import Notice
from wasabiwell_entry.state.platform import StoreUnavailable


class NoticeReceiver(Protocol):
    """Receiver of messages from other entry instances."""

    def receive(self, sender: str, notice: Notice) -> None:
        """Apply a message; `sender` is the datagram address of the entry instance."""


class NoticePort(Protocol):
    """Datagram connection to other entry instances."""

    def send(self, addresses: Iterable[str], notice: Notice) -> None:
        """Send a message to each address, without guarantee of delivery."""

    async def receive(self, receiver: NoticeReceiver) -> None:
        """Pass each message to the receiver until cancelled."""


class NodeDirectory(Protocol):
    """Registry of the datagram addresses of entry instances in the platform's store."""

    async def register(self, address: str) -> StoreUnavailable | None:
        """Register an address."""

    async def addresses(self) -> list[str] | StoreUnavailable:
        """Return the registered addresses."""
