#!/usr/bin/env python3
"""Prints the configuration of Eaveline Ice Works.

The keys are for demonstration only; real deployments store keys elsewhere and put only their
hashes into this file.
"""

from datetime import timedelta

from wasabiwell_config import (
    CallRule,
    Configuration,
    Deadlines,
    Limits,
    ModelService,
    OperatorKey,
    PlainService,
    hash_key,
    make_organisations,
    render,
)

LARGE = ("concord-crews", "lowell-crews", "harbor-insurance")
SMALL = (
    "nashua-homes",
    "dover-roofing",
    "keene-triplex",
    "portsmouth-gutters",
    "pittsfield-photo",
    "laconia-heat",
    "exeter-adjusters",
)

CONFIGURATION = Configuration(
    model_services=(
        ModelService(
            name="ice-advisor",
            deadlines=Deadlines(
                short=timedelta(seconds=20),
                medium=timedelta(minutes=2),
                long=timedelta(minutes=10),
            ),
        ),
    ),
    plain_services=(
        PlainService(
            name="crew-desk",
            timeout=timedelta(seconds=15),
            non_idempotent=(CallRule(method="POST", path="/bookings"),),
        ),
    ),
    organisations=(
        *make_organisations(
            {name: hash_key(f"{name}-key") for name in LARGE},
            weight=4.0,
            limits=Limits(concurrent_long=8),
        ),
        *make_organisations(
            {name: hash_key(f"{name}-key") for name in SMALL},
            limits=Limits(requests_per_second=200.0, concurrent_long=2),
        ),
    ),
    operators=(OperatorKey(name="operations", key_hash=hash_key("operations-key")),),
)

if __name__ == "__main__":
    print(render(CONFIGURATION), end="")
