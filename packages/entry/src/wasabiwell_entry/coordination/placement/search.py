"""Searches for the cheapest placement of one prompt on engines."""

from dataclasses import dataclass

from wasabiwell_entry.coordination.placement.const import (
    EXTRA_ENGINE_COST,
    LAST_SLOT_COSTS,
    LATENCY_COST,
    MAX_CACHE_HELPERS,
    MAX_HELPERS,
    MIN_DECODE_SECONDS,
    MIN_SPLIT_PREFILL_SECONDS,
    NEVER_FITS_COST,
    NO_MEMORY_COST,
    NO_SHORT_PROMPT_COST,
    QUEUED_REQUEST_COST,
    USABLE_MEMORY_RATIO,
)
from wasabiwell_entry.coordination.placement.estimate import (
    EngineState,
    decode_delay_cost,
    lateness,
    prefill_delay_costs,
    single_engine_finish,
    split_prefill_finish,
)
from wasabiwell_entry.state.forwarding import ForwardedRequest, Helper, PromptSize
from wasabiwell_entry.state.routes import EngineProfile
from wasabiwell_entry.state.work import LATE_PENALTY, request_value


@dataclass(frozen=True, slots=True)
class PlacementCandidate:
    """A possible placement of a prompt, with its cost in value and its time to the first event.

    The first engine is the lead, which decodes. Each of the next engines keeps the KV
    cache of as many prompt tokens as `helper_kv_tokens` has for it. `fits` is set when the lead has
    a free slot and the engines have free memory for the whole prompt.
    """

    cost: float
    finish: float
    engines: tuple[EngineState, ...]
    helper_kv_tokens: tuple[int, ...] = ()
    fits: bool = False

    @property
    def helpers(self) -> tuple[Helper, ...]:
        """Return the engines after the lead, with the prompt tokens that they keep."""
        kept = self.helper_kv_tokens + (0,) * (len(self.engines) - 1 - len(self.helper_kv_tokens))
        pairs = zip(self.engines[1:], kept, strict=True)
        return tuple(Helper(state.work.target, tokens) for state, tokens in pairs)


class PromptSearch:
    """Searches for the cheapest placement of one prompt."""

    __slots__ = (
        "_allowed",
        "_fixed_lead",
        "_now",
        "_profile",
        "_request",
        "_short_request_rate",
        "_short_request_value",
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
        short_requests: tuple[float, float],
        fixed_lead: bool = False,
    ) -> None:
        """Create a search.

        `allowed` is the time left to the first event in seconds. `short_requests` are the rate of
        short requests in 1/s and their mean value. With `fixed_lead` only the first engine
        of `states` may decode.
        """
        self._request = request
        self._size = size
        self._profile = profile
        self._states = states
        self._allowed = allowed
        self._now = now
        self._fixed_lead = fixed_lead
        self._short_request_rate, self._short_request_value = short_requests

    @property
    def _value(self) -> float:
        return request_value(self._size, self._profile)

    @property
    def _no_memory_cost(self) -> float:
        """Return the cost of engines without enough free memory."""
        never_fits = self._size.total > self._profile.memory_tokens * USABLE_MEMORY_RATIO
        return self._value * (NEVER_FITS_COST if never_fits else NO_MEMORY_COST)

    def best(self) -> PlacementCandidate:
        """Return the cheapest candidate."""
        prefill = self._profile.prefill_seconds(self._size.prompt)
        candidates = [self._best_single_engine_candidate(prefill)]
        if prefill > MIN_SPLIT_PREFILL_SECONDS:
            states = self._states_for_segments()
            max_engines = min(len(states), MAX_HELPERS + 1)
            candidates += [
                self._split_candidate(states, prefill, count) for count in range(2, max_engines + 1)
            ]
        return min(candidates, key=lambda candidate: candidate.cost)

    def _best_single_engine_candidate(self, prefill: float) -> PlacementCandidate:
        states = self._states[:1] if self._fixed_lead else self._states
        candidates = [self._single_engine_candidate(state, prefill) for state in states]
        return min(candidates, key=lambda candidate: candidate.cost)

    def _single_engine_candidate(self, state: EngineState, prefill: float) -> PlacementCandidate:
        finish = single_engine_finish(state, prefill)
        cost = (
            self._latency_cost(finish) + decode_delay_cost(state, prefill) + self._slot_cost(state)
        )
        memory_fits = self._kv_tokens_per_helper(state, []) is not None
        if not memory_fits:
            cost += self._no_memory_cost
        if prefill <= MIN_SPLIT_PREFILL_SECONDS and not self._has_similar_request(state):
            cost += NO_SHORT_PROMPT_COST * self._value
        fits = memory_fits and state.has_free_slot
        return PlacementCandidate(cost, finish, (state,), fits=fits)

    def _has_similar_request(self, state: EngineState) -> bool:
        """Return whether an engine decodes a request with the same or a shorter allowed pause."""
        allowed = self._request.route.event_gap.total_seconds()
        requests = state.work.requests.values()
        return any(item.lead and item.placed.gap <= allowed for item in requests)

    def _states_for_segments(self) -> list[EngineState]:
        """Return the engines that may take a segment: each helps at most as many as its slots."""
        return [
            state
            for index, state in enumerate(self._states)
            if state.work.helped_prompts < state.work.slots or (self._fixed_lead and index == 0)
        ]

    def _split_candidate(
        self, states: list[EngineState], prefill: float, count: int
    ) -> PlacementCandidate:
        segment = prefill / count
        costs = sorted(
            (
                (
                    decode_delay_cost(state, segment) + self._prefill_delay_cost(state, segment),
                    index,
                )
                for index, state in enumerate(states)
            ),
            key=lambda item: (
                item[0] + LATENCY_COST * states[item[1]].pending_prefill,
                -item[1],
            ),
        )
        if self._fixed_lead:
            costs.sort(key=lambda item: item[1] != 0)
        chosen = [states[index] for _, index in costs[:count]]
        decode_delay = sum(decode_delay_cost(state, segment) for state in chosen)
        prefill_delay: dict[str, float] = {}
        for state in chosen:
            for request_id, delay_cost in prefill_delay_costs(state, segment, self._now).items():
                prefill_delay[request_id] = max(delay_cost, prefill_delay.get(request_id, 0.0))
        finish = max(split_prefill_finish(state, segment) for state in chosen)
        lead = chosen[0]
        if not self._fixed_lead:
            lead = self._choose_lead(chosen)
        finish = max(finish, lead.slot_wait + split_prefill_finish(lead, segment))
        cost = (
            self._latency_cost(finish)
            + decode_delay
            + sum(prefill_delay.values())
            + self._slot_cost(lead)
        )
        cost += EXTRA_ENGINE_COST * self._value * (count - 1) + self._slot_shortage_cost(
            chosen, segment
        )
        others = [state for state in chosen if state is not lead]
        others.sort(key=self._free_memory, reverse=True)
        helper_kv_tokens = self._kv_tokens_per_helper(lead, others)
        if helper_kv_tokens is None:
            cost += self._no_memory_cost
        fits = helper_kv_tokens is not None and lead.has_free_slot
        return PlacementCandidate(cost, finish, (lead, *others), helper_kv_tokens or (), fits)

    def _choose_lead(self, chosen: list[EngineState]) -> EngineState:
        """Return the cheapest lead among those with memory for the prompt, if there are any."""
        with_memory = [state for state in chosen if self._size.total <= self._free_memory(state)]
        return min(
            with_memory or chosen, key=lambda state: (self._slot_cost(state), state.slot_wait)
        )

    def _prefill_delay_cost(self, state: EngineState, segment: float) -> float:
        return sum(prefill_delay_costs(state, segment, self._now).values())

    def _slot_shortage_cost(self, chosen: list[EngineState], segment: float) -> float:
        """Return the value lost by short requests that arrive while the chosen engines prefill.

        Requests that find no free slot on the other engines are late. Slots there become free at
        the rate at which responses of usual length end.
        """
        chosen_ids = {id(state) for state in chosen}
        others = [state for state in self._states if id(state) not in chosen_ids]
        free = sum(max(0, state.work.slots - state.occupied_slots) for state in others)
        slots = sum(state.work.slots for state in others)
        freed = slots * segment / max(MIN_DECODE_SECONDS, self._profile.usual_decode_seconds)
        excess = self._short_request_rate * segment - free - freed
        return LATE_PENALTY * self._short_request_value * max(0.0, excess)

    def _latency_cost(self, finish: float) -> float:
        late_probability = lateness(finish, self._allowed) if self._allowed > 0 else 1.0
        objective = self._request.route.objective.total_seconds()
        return self._value * (LATE_PENALTY * late_probability + LATENCY_COST * finish / objective)

    def _slot_cost(self, state: EngineState) -> float:
        """Return the cost of taking a slot of an engine."""
        slots_left = state.work.slots - state.occupied_slots - 1
        cost = state.target_cost
        if slots_left < 0:
            cost -= QUEUED_REQUEST_COST * slots_left
        elif slots_left < len(LAST_SLOT_COSTS):
            cost += LAST_SLOT_COSTS[slots_left]
        return self._value * cost

    def _free_memory(self, state: EngineState) -> float:
        return self._profile.memory_tokens * USABLE_MEMORY_RATIO - state.work.tokens

    def _kv_tokens_per_helper(
        self, lead: EngineState, others: list[EngineState]
    ) -> tuple[int, ...] | None:
        """Return the prompt tokens whose KV cache each helper keeps, or None when they do not fit.

        `others` are sorted by free memory, most first. The segments are equal, as the duration
        of a decode step depends on the largest one.
        """
        if self._size.total <= self._free_memory(lead):
            return ()
        for count in range(1, min(MAX_CACHE_HELPERS, len(others)) + 1):
            segment_tokens = -(-self._size.prompt // (count + 1))
            lead_tokens = self._size.total - segment_tokens * count
            if lead_tokens <= self._free_memory(lead) and segment_tokens <= self._free_memory(
                others[count - 1]
            ):
                return (segment_tokens,) * count
        return None
