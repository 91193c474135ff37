"""Stateful fuzzing of the response assembler against the response that the engine generates."""

import msgspec
import xxhash
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from wasabiwell_entry.coordination.dispatch.assembler import ResponseAssembler
from wasabiwell_entry.protocol.engine import FrameReader
from wasabiwell_entry.state.requests import EndFrame, StreamItem, TokenFrame

TOKENS = [f"t{index} " for index in range(40)]
OFFSETS = st.integers(0, len(TOKENS) - 1)
COUNTS = st.integers(1, 4)
CURRENT, FOREIGN = "attempt-2", "attempt-1"
SETTINGS = settings(max_examples=300, derandomize=True, database=None, deadline=None)


class AssemblerMachine(RuleBasedStateMachine):
    """Sends frames in order, late, duplicated, ahead, fragmented, or from another attempt."""

    @initialize()
    def start(self) -> None:
        """Start a response."""
        self.assembler = ResponseAssembler()
        self.reader = FrameReader(CURRENT)
        self.delivered = ""
        self.finished = False

    def _feed(self, attempt: str, cut: int, **fields: object) -> None:
        line = msgspec.json.encode({"attempt": attempt, **fields}) + b"\n"
        for piece in (line[:cut], line[cut:]):
            for item in self.reader.feed(piece):
                self._process(item)

    def _process(self, item: StreamItem) -> None:
        match item:
            case TokenFrame() if self.assembler.accept(item) is None:
                self.delivered += item.text
            case EndFrame() if self.assembler.verify(item) is None:
                self.finished = True

    def _tokens(self, attempt: str, offset: int, count: int, cut: int) -> None:
        text = "".join(TOKENS[offset : offset + count])
        count = len(TOKENS[offset : offset + count])
        self._feed(attempt, cut, offset=offset, count=count, text=text)

    @rule(count=COUNTS, cut=st.integers(0, 60))
    def next_tokens(self, count: int, cut: int) -> None:
        """Send the next tokens."""
        if self.assembler.offset < len(TOKENS):
            self._tokens(CURRENT, self.assembler.offset, count, cut)

    @rule(offset=OFFSETS, count=COUNTS, cut=st.integers(0, 60))
    def other_tokens(self, offset: int, count: int, cut: int) -> None:
        """Send tokens that are late, duplicated or ahead."""
        self._tokens(CURRENT, offset, count, cut)

    @rule(count=COUNTS, cut=st.integers(0, 60))
    def foreign_tokens(self, count: int, cut: int) -> None:
        """Send tokens of another attempt at the expected offset."""
        offset = self.assembler.offset
        self._feed(FOREIGN, cut, offset=offset, count=count, text="foreign ")

    @rule(tokens=st.integers(0, len(TOKENS)), cut=st.integers(0, 60))
    def end(self, tokens: int, cut: int) -> None:
        """Send an end frame, valid or not, with the digest of that many tokens."""
        digest = xxhash.xxh3_64("".join(TOKENS[:tokens]).encode()).hexdigest()
        self._feed(CURRENT, cut, end=True, tokens=tokens, digest=digest, finish_reason="length")

    @rule()
    def end_with_wrong_digest(self) -> None:
        """Send the end frame of the tokens accepted so far with a wrong digest."""
        self.finished = False
        self._feed(CURRENT, 0, end=True, tokens=self.assembler.offset, digest="0")
        assert not self.finished

    @invariant()
    def no_token_is_duplicated_or_missing(self) -> None:
        """Compare the delivered text with the engine's response."""
        assert self.delivered == "".join(TOKENS[: self.assembler.offset])
