"""What the exchange needs of the other layers and capabilities."""

from collections.abc import Iterable
from typing import Protocol

from wasabiwell_entry.state.exchange import Notice
from wasabiwell_entry.state.platform import StoreUnavailable


class NoticeReceiver(Protocol):
    """Receiver of messages."""

    def receive(self, sender: str, notice: Notice) -> None:
        """Take over a message of the entry instance at a datagram address."""


class NoticePort(Protocol):
    """Datagrams to other entry instances."""

    def send(self, addresses: Iterable[str], notice: Notice) -> None:
        """Send a message; it may be lost."""

    async def receive(self, receiver: NoticeReceiver) -> None:
        """Pass each message to the receiver until cancelled."""


class NodeDirectory(Protocol):
    """Datagram addresses of entry instances, kept by the platform."""

    async def register(self, address: str) -> StoreUnavailable | None:
        """Enter an address."""

    async def addresses(self) -> list[str] | StoreUnavailable:
        """Return the addresses that were entered."""
