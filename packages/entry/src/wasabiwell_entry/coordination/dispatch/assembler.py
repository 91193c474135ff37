"""Verifies that the frames of all attempts form one complete response."""

import xxhash

from wasabiwell_entry.state.requests import EndFrame, StreamInterrupted, TokenFrame


class ResponseAssembler:
    """Tracks the offset and the digest of one response over its attempts."""

    __slots__ = ("_digest", "_offset", "_texts")

    def __init__(self) -> None:
        self._offset = 0
        self._texts: list[str] = []
        self._digest = xxhash.xxh3_64()

    @property
    def offset(self) -> int:
        """Return the number of tokens accepted so far."""
        return self._offset

    @property
    def text(self) -> str:
        """Return the text accepted so far."""
        return "".join(self._texts)

    def accept(self, frame: TokenFrame) -> StreamInterrupted | None:
        """Accept the next frame, or return why it does not continue the response."""
        if frame.offset != self._offset:
            return StreamInterrupted(f"expected offset {self._offset}, got {frame.offset}")
        self._offset += frame.count
        self._texts.append(frame.text)
        self._digest.update(frame.text.encode())
        return None

    def verify(self, end: EndFrame) -> StreamInterrupted | None:
        """Return why an end frame does not match the response, or None when it is complete."""
        if end.tokens != self._offset:
            return StreamInterrupted(
                f"the end frame counts {end.tokens} tokens, {self._offset} were received"
            )
        if end.digest != self._digest.hexdigest():
            return StreamInterrupted("the digest of the end frame does not match the received text")
        return None
