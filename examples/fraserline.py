#!/usr/bin/env python3
"""Prints the configuration of Fraserline Software Ltd..

The keys here are for demonstrations; a deployment keeps its keys elsewhere and writes only hashes.
"""

from datetime import timedelta

from wasabiwell_config import (
    CallRule,
    Configuration,
    Deadlines,
    Limits,
    ModelService,
    OperatorKey,
    Organisation,
    PlainService,
    hash_key,
    render,
)

LARGE = ("burnaby-racks", "kelowna-colo", "surrey-hosting")
SMALL = (
    "nanaimo-racks",
    "kamloops-power",
    "prince-george-colo",
    "richmond-cages",
    "langley-hosting",
    "victoria-circuits",
    "abbotsford-racks",
)

CONFIGURATION = Configuration(
    model_services=(
        ModelService(
            name="assist-llm",
            deadlines=Deadlines(
                short=timedelta(seconds=20),
                medium=timedelta(minutes=2),
                long=timedelta(minutes=10),
            ),
        ),
    ),
    plain_services=(
        PlainService(
            name="booking-api",
            timeout=timedelta(seconds=15),
            non_idempotent=(CallRule(method="POST", path="/reservations"),),
        ),
    ),
    organisations=(
        *(
            Organisation(
                name=name,
                key_hashes=(hash_key(f"{name}-key"),),
                weight=4.0,
                limits=Limits(concurrent_long=8),
            )
            for name in LARGE
        ),
        *(
            Organisation(
                name=name,
                key_hashes=(hash_key(f"{name}-key"),),
                limits=Limits(requests_per_second=200.0, concurrent_long=2),
            )
            for name in SMALL
        ),
    ),
    operators=(OperatorKey(name="operations", key_hash=hash_key("operations-key")),),
)

if __name__ == "__main__":
    print(render(CONFIGURATION), end="")
