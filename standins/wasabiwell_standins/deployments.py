"""Existing deployments, in the sizes that tests and demonstrations start."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Names, API keys and process counts of a deployment; `organisations` maps name to API key."""

    name: str
    region: str
    zones: tuple[str, ...]
    engine_service: str
    booking_service: str
    booking_path: str
    example: str
    organisations: dict[str, str]
    operator_key: str = "operations-key"
    entries: int = 3
    engines: int = 6
    bookings: int = 2
    engine_tokens: int = 400_000


def _api_keys(*names: str) -> dict[str, str]:
    return {name: f"{name}-key" for name in names}


EAVELINE = Deployment(
    name="eaveline",
    region="new-england",
    zones=("merrimack", "seacoast", "berkshire"),
    engine_service="ice-advisor",
    booking_service="crew-desk",
    booking_path="/bookings",
    example="examples/eaveline.py",
    organisations=_api_keys(
        "concord-crews",
        "lowell-crews",
        "harbor-insurance",
        "nashua-homes",
        "dover-roofing",
        "keene-triplex",
        "portsmouth-gutters",
        "pittsfield-photo",
        "laconia-heat",
        "exeter-adjusters",
    ),
)

FRASERLINE = Deployment(
    name="fraserline",
    region="bc-west",
    zones=("bc-west-a", "bc-west-b", "bc-west-c"),
    engine_service="assist-llm",
    booking_service="booking-api",
    booking_path="/reservations",
    example="examples/fraserline.py",
    organisations=_api_keys(
        "burnaby-racks",
        "kelowna-colo",
        "surrey-hosting",
        "nanaimo-racks",
        "kamloops-power",
        "prince-george-colo",
        "richmond-cages",
        "langley-hosting",
        "victoria-circuits",
        "abbotsford-racks",
    ),
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (EAVELINE, FRASERLINE)}
