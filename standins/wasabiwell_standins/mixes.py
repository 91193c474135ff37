"""Arrival mixes of the deployments, reproducible from a seed."""

import random
from dataclasses import dataclass, replace

from wasabiwell_standins.deployments import Deployment
from wasabiwell_standins.load import PlannedRequest

PREFIX_BYTES = 4_300
"""Spans one full block of the prefix cache (4096 bytes) and part of the next."""
TIMEOUT_S = 40.0
SHORT_START_S = 1.0
"""Long prompts arrive before this time, so that they occupy memory when short prompts start."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ArrivalMix:
    """Arrival rates in requests per second, and prompt and output sizes in tokens.

    The rate of short prompts rises to `short_peak_rate` in the second half of the mix.
    """

    duration_s: float
    short_rate: float
    short_peak_rate: float
    short_prompt_tokens: tuple[int, int]
    short_output_tokens: int
    medium_rate: float
    medium_prompt_tokens: tuple[int, int]
    long_prompt_tokens: tuple[int, ...]
    long_output_tokens: int


MIXES = {
    "eaveline": ArrivalMix(
        duration_s=4.0,
        short_rate=20.0,
        short_peak_rate=35.0,
        short_prompt_tokens=(1_000, 3_000),
        short_output_tokens=8,
        medium_rate=0.7,
        medium_prompt_tokens=(10_000, 40_000),
        long_prompt_tokens=(900_000, 180_000, 150_000, 120_000, 220_000, 140_000),
        long_output_tokens=100,
    ),
    "fraserline": ArrivalMix(
        duration_s=4.0,
        short_rate=28.0,
        short_peak_rate=28.0,
        short_prompt_tokens=(1_000, 2_000),
        short_output_tokens=8,
        medium_rate=1.0,
        medium_prompt_tokens=(20_000, 60_000),
        long_prompt_tokens=(850_000, 200_000, 250_000, 130_000, 160_000),
        long_output_tokens=100,
    ),
}


def plan_requests(
    deployment: Deployment, seed: int, phase: str, with_long_prompts: bool
) -> list[PlannedRequest]:
    """Return the arrivals of a mix; `with_long_prompts` does not change the other arrivals.

    `phase` makes prompts unique, so that no phase gets cache hits for full prompts of another.
    """
    mix = MIXES[deployment.name]
    organisation_names = list(deployment.organisations)
    generator = random.Random(seed)
    planned = _poisson_arrivals(mix, organisation_names, generator, "short", phase)
    planned += _poisson_arrivals(mix, organisation_names, generator, "medium", phase)
    planned += _warm_up_arrivals(mix, organisation_names, generator, phase)
    if with_long_prompts:
        planned += [
            PlannedRequest(
                0.15 * index,
                organisation_names[index % 3],
                "long",
                f"{phase}-long-{index}",
                "",
                tokens,
                mix.long_output_tokens,
                TIMEOUT_S,
            )
            for index, tokens in enumerate(mix.long_prompt_tokens)
        ]
    return sorted(planned, key=lambda item: item.at_s)


def _warm_up_arrivals(
    mix: ArrivalMix, organisation_names: list[str], generator: random.Random, phase: str
) -> list[PlannedRequest]:
    """Return short prompts that open connections and fill prefix caches; latencies exclude them."""
    planned = _poisson_arrivals(mix, organisation_names, generator, "short", f"{phase}-warm-up")
    return [
        replace(item, at_s=item.at_s - SHORT_START_S, kind="warm-up")
        for item in planned
        if item.at_s < 2 * SHORT_START_S
    ]


def _poisson_arrivals(
    mix: ArrivalMix, organisation_names: list[str], generator: random.Random, kind: str, phase: str
) -> list[PlannedRequest]:
    short = kind == "short"
    rate = mix.short_rate if short else mix.medium_rate
    sizes = mix.short_prompt_tokens if short else mix.medium_prompt_tokens
    planned: list[PlannedRequest] = []
    arrival_s = SHORT_START_S
    while True:
        peak = short and arrival_s > SHORT_START_S + mix.duration_s / 2
        arrival_s += generator.expovariate(mix.short_peak_rate if peak else rate)
        if arrival_s > SHORT_START_S + mix.duration_s:
            return planned
        name = generator.choice(organisation_names)
        prefix = f"{name} {kind} ".ljust(PREFIX_BYTES, "p") if short else ""
        tokens = generator.randint(*sizes)
        tag = f"{phase}-{kind}-{len(planned)}"
        output_tokens = mix.short_output_tokens
        planned.append(
            PlannedRequest(arrival_s, name, kind, tag, prefix, tokens, output_tokens, TIMEOUT_S)
        )


def plan_backlog(deployment: Deployment) -> list[PlannedRequest]:
    """Return one request template for each organisation, for a closed-loop run with a backlog."""
    return [
        PlannedRequest(0.0, name, "short", f"backlog-{name}", "", 2_500, 4, TIMEOUT_S)
        for name in deployment.organisations
    ]
