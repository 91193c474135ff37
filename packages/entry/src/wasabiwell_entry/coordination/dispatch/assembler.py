"""Checks that the frames of all attempts form one whole answer."""

import xxhash

from wasabiwell_entry.state.requests import EndFrame, StreamInterrupted, TokenFrame


class AnswerAssembler:
    """Follows the offset and the digest of one answer over its attempts."""

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
        """Accept the next frame, or tell why it does not continue the answer."""
        if frame.offset != self._offset:
            return StreamInterrupted(f"expected offset {self._offset}, got {frame.offset}")
        self._offset += frame.count
        self._texts.append(frame.text)
        self._digest.update(frame.text.encode())
        return None

    def verify(self, end: EndFrame) -> StreamInterrupted | None:
        """Tell why an end mark does not fit the answer, or None when the answer is whole."""
        if end.tokens != self._offset:
            return StreamInterrupted(f"end mark counts {end.tokens} tokens, {self._offset} arrived")
        if end.digest != self._digest.hexdigest():
            return StreamInterrupted("the digest of the end mark differs from the received text")
        return None
