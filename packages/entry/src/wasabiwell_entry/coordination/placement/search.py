"""Finds the cheapest way to place one prompt on engines."""

from dataclasses import dataclass

from wasabiwell_entry.coordination.placement.const import (
    EMPTY_ENGINE_COST,
    ENGINE_COST,
    FULL_COST,
    LAST_SLOT_COSTS,
    MAX_HELPERS,
    MAX_HOLDERS,
    MEMORY_SHARE,
    MIN_WRITE_SECONDS,
    NEVER_FITS_COST,
    NO_MEMORY_COST,
    SPLIT_SECONDS,
    WAIT_COST,
)
from wasabiwell_entry.coordination.placement.estimate import (
    EngineState,
    delay_harm,
    lateness,
    part_finish,
    pause_harm,
    whole_finish,
)
from wasabiwell_entry.state.forwarding import ForwardedRequest, Helper, PromptSize
from wasabiwell_entry.state.routes import EngineProfile
from wasabiwell_entry.state.work import LATE_PENALTY, request_value


@dataclass(frozen=True, slots=True)
class Way:
    """One way to place a prompt and its cost in value.

    The first engine is the lead; those after it keep `helper_kv_tokens` tokens of the prompt.
    """

    cost: float
    finish: float
    engines: tuple[EngineState, ...]
    helper_kv_tokens: tuple[int, ...] = ()

    @property
    def helpers(self) -> tuple[Helper, ...]:
        """Return the engines after the lead, with what they keep."""
        holds = self.helper_kv_tokens + (0,) * (len(self.engines) - 1 - len(self.helper_kv_tokens))
        pairs = zip(self.engines[1:], holds, strict=True)
        return tuple(Helper(state.work.target, tokens) for state, tokens in pairs)


class PromptSearch:
    """Finds the cheapest way to place one prompt."""

    __slots__ = (
        "_allowed",
        "_now",
        "_profile",
        "_request",
        "_short_rate",
        "_short_value",
        "_size",
        "_states",
    )

    def __init__(
        self,
        request: ForwardedRequest,
        size: PromptSize,
        profile: EngineProfile,
        states: list[EngineState],
        allowed: float,
        now: float,
        short_rate: tuple[float, float],
    ) -> None:
        """Take the time allowed for the first event, and the rate and value of short requests."""
        self._request = request
        self._size = size
        self._profile = profile
        self._states = states
        self._allowed = allowed
        self._now = now
        self._short_rate, self._short_value = short_rate

    @property
    def _value(self) -> float:
        return request_value(self._size, self._profile)

    @property
    def _no_memory_cost(self) -> float:
        """Return the cost of engines that do not have the memory free."""
        never = self._size.total > self._profile.memory_tokens * MEMORY_SHARE
        return self._value * (NEVER_FITS_COST if never else NO_MEMORY_COST)

    def best(self) -> Way:
        """Return the cheapest way."""
        read = self._profile.prefill_seconds(self._size.prompt)
        ways = [self._best_single(read)]
        if read > SPLIT_SECONDS:
            most = min(len(self._states), MAX_HELPERS + 1)
            ways += [self._split(read, count) for count in range(2, most + 1)]
        return min(ways, key=lambda way: way.cost)

    def _best_single(self, read: float) -> Way:
        ways = [self._single(state, read) for state in self._states]
        return min(ways, key=lambda way: way.cost)

    def _single(self, state: EngineState, read: float) -> Way:
        finish = whole_finish(state, read)
        cost = self._own_cost(finish) + pause_harm(state, read) + self._lead_cost(state)
        if self._holds(state, []) is None:
            cost += self._no_memory_cost
        if read <= SPLIT_SECONDS and not self._has_alike(state):
            cost += EMPTY_ENGINE_COST * self._value
        return Way(cost, finish, (state,))

    def _has_alike(self, state: EngineState) -> bool:
        """Return whether an engine has a request that allows pauses no longer than this one."""
        allowed = self._request.route.event_gap.total_seconds()
        residents = state.work.requests.values()
        return any(item.lead and item.placed.gap <= allowed for item in residents)

    def _split(self, read: float, count: int) -> Way:
        part = read / count
        costs = sorted(
            (
                (pause_harm(state, part) + self._delay(state, part), index)
                for index, state in enumerate(self._states)
            ),
            key=lambda item: (item[0] + WAIT_COST * self._states[item[1]].pending, -item[1]),
        )
        chosen = [self._states[index] for _, index in costs[:count]]
        harm = sum(pause_harm(state, part) for state in chosen)
        delayed: dict[str, float] = {}
        for state in chosen:
            for request_id, lost in delay_harm(state, part, self._now).items():
                delayed[request_id] = max(lost, delayed.get(request_id, 0.0))
        finish = max(part_finish(state, part) for state in chosen)
        lead = min(chosen, key=lambda state: (self._lead_cost(state), state.slot_wait))
        finish = max(finish, lead.slot_wait + part_finish(lead, part))
        cost = self._own_cost(finish) + harm + sum(delayed.values()) + self._lead_cost(lead)
        cost += ENGINE_COST * self._value * (count - 1) + self._crowding(chosen, part)
        others = [state for state in chosen if state is not lead]
        others.sort(key=self._free, reverse=True)
        holds = self._holds(lead, others)
        if holds is None:
            cost += self._no_memory_cost
        return Way(cost, finish, (lead, *others), holds or ())

    def _delay(self, state: EngineState, part: float) -> float:
        return sum(delay_harm(state, part, self._now).values())

    def _crowding(self, chosen: list[EngineState], part: float) -> float:
        """Return the value that short requests lose which come while these engines read.

        Those that find no slot on the other engines are late. Slots there become free at the rate
        at which usual answers end.
        """
        taken = {id(state) for state in chosen}
        others = [state for state in self._states if id(state) not in taken]
        free = sum(max(0, state.work.slots - state.occupied_slots) for state in others)
        slots = sum(state.work.slots for state in others)
        ended = slots * part / max(MIN_WRITE_SECONDS, self._profile.usual_decode_seconds)
        excess = self._short_rate * part - free - ended
        return LATE_PENALTY * self._short_value * max(0.0, excess)

    def _own_cost(self, finish: float) -> float:
        late = lateness(finish, self._allowed) if self._allowed > 0 else 1.0
        objective = self._request.route.objective.total_seconds()
        return self._value * (LATE_PENALTY * late + WAIT_COST * finish / objective)

    def _lead_cost(self, state: EngineState) -> float:
        """Return the cost of taking a slot of an engine."""
        left = state.work.slots - state.occupied_slots - 1
        cost = state.preference
        if left < 0:
            cost -= FULL_COST * left
        elif left < len(LAST_SLOT_COSTS):
            cost += LAST_SLOT_COSTS[left]
        return self._value * cost

    def _free(self, state: EngineState) -> float:
        return self._profile.memory_tokens * MEMORY_SHARE - state.work.tokens

    def _holds(self, lead: EngineState, others: list[EngineState]) -> tuple[int, ...] | None:
        """Return the tokens that other engines keep, even parts of the prompt, or None.

        `others` are in the order of their free memory. Even parts make the steps of the lead
        shortest, which cost the context of the largest part.
        """
        if self._size.total <= self._free(lead):
            return ()
        for holders in range(1, min(MAX_HOLDERS, len(others)) + 1):
            part = -(-self._size.prompt // (holders + 1))
            rest = self._size.total - part * holders
            if rest <= self._free(lead) and part <= self._free(others[holders - 1]):
                return (part,) * holders
        return None
