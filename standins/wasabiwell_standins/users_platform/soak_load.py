"""Load of a soak: callers of one connection an attempt, and callers that keep theirs."""

import random
from dataclasses import replace

import trio

from wasabiwell_standins.users_platform.caller import Caller, CallerRequest
from wasabiwell_standins.users_platform.deployment import (
    KEY,
    OTHER_KEY,
    PLAIN_SERVICE,
    ROUTES,
    ZONES,
    Deployment,
    EntryProcess,
)
from wasabiwell_standins.users_platform.reasons import STANDINS, Disruption
from wasabiwell_standins.users_platform.soak_checks import SEND_INTERVAL
from wasabiwell_standins.users_platform.soak_history import FaultHistory

DISCONNECT_SHARE = 0.08
"""Share of the callers that may disconnect before their response is complete."""
ROUTE_WEIGHTS = (12, 3, 1, 10, 10)
"""Weights of `ROUTES`; few prompts are long, which take most of the engines' time."""
LONG_STREAM_SHARE = 0.15
LONG_STREAM_EVENTS = (60, 130)
"""Such a stream lasts 3 to 8 s, more than the time between the listeners' close and the end."""
RESERVATION_SHARE = 0.1
RESERVATION_WORK_MS = 5_000
RESERVATION_DEADLINE_MS = 7_500
"""A reservation fits the grace period of 8 s only if it is sent at the start of a stop."""
RESERVATION_ROUTE = {
    "name": "r-reserve",
    "prefix": "/reserve/",
    "service": PLAIN_SERVICE,
    "kind": "unsafe",
    "attempts": 1,
    "timeout_ms": RESERVATION_DEADLINE_MS,
    "target_latency_ms": 6_000,
    "resume_streams": False,
}
LATE_REQUESTS = 8
LATE_SECONDS = (2.4, 3.4)
"""Seconds after SIGTERM: until the listeners are closed."""
KEEPING_STANDINS_PER_ENTRY = 2
TASKS_PER_CALLER = 4
STALL_INTERVAL = 0.05
STALL_SECONDS = 0.3
THINK_SECONDS = (0.05, 0.6)


class SoakLoad:
    """Requests of all kinds, drawn from a seed."""

    def __init__(self, deployment: Deployment, seed: int, history: FaultHistory) -> None:
        self._deployment = deployment
        self._random = random.Random(f"load {seed}")
        self._history = history
        self._nursery: trio.Nursery | None = None

    def add_route(self) -> None:
        """Add the route of reservations to the configuration, and publish it."""
        routes = self._deployment.configuration["routes"]
        routes.append({"host": routes[0]["host"], **RESERVATION_ROUTE})
        self._deployment.publish_configuration()

    async def run(self, seconds: float) -> None:
        """Send requests for a time, and wait until all of them have ended."""
        deployment, end = self._deployment, trio.current_time() + seconds
        callers = [deployment.caller(zone) for zone in ZONES]
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._watch_stalls, end)
            for number in range(KEEPING_STANDINS_PER_ENTRY * len(deployment.entries)):
                zone, stays = ZONES[number % len(ZONES)], number % 2 == 0
                keeping = deployment.keeping_caller(zone, stays)
                for _ in range(TASKS_PER_CALLER):
                    nursery.start_soon(self._send_in_turn, keeping, end)
            while trio.current_time() < end:
                nursery.start_soon(self._send, self._random.choice(callers))
                await trio.sleep(SEND_INTERVAL)
        self._nursery = None

    def add_late_requests(self, entry: EntryProcess) -> None:
        """Send long requests to an instance that gets SIGTERM now, until its listeners close.

        Some callers keep the addresses of a directory for three times as long as it says.
        """
        if self._nursery is None:
            return
        for number in range(LATE_REQUESTS):
            address = entry.address("frontend")
            caller = self._deployment.keeping_caller(entry.zone, stays=True, instance=address)
            request = self._reservation(KEY)
            if number % 2:
                events = self._random.randrange(*LONG_STREAM_EVENTS)
                request = self._deployment.request("short", events=events)
            self._nursery.start_soon(self._send_late, caller, request)

    async def _send_late(self, caller: Caller, request: CallerRequest) -> None:
        await trio.sleep(self._random.uniform(*LATE_SECONDS))
        await caller.send(request)

    async def _watch_stalls(self, end: float) -> None:
        """Record the times in which the process of callers and targets had no processor time."""
        disruptions = self._history.circumstances.disruptions
        while (now := trio.current_time()) < end:
            await trio.sleep(STALL_INTERVAL)
            if trio.current_time() - now > STALL_INTERVAL + STALL_SECONDS:
                disruptions.append(Disruption(STANDINS, now, trio.current_time()))

    async def _send_in_turn(self, caller: Caller, end: float) -> None:
        while trio.current_time() < end:
            await self._send(caller)
            await trio.sleep(self._random.uniform(*THINK_SECONDS))

    async def _send(self, caller: Caller) -> None:
        disconnects = self._random.random() < DISCONNECT_SHARE
        disconnect_after = self._random.uniform(0.05, 1.0) if disconnects else float("inf")
        with trio.move_on_after(disconnect_after):
            await caller.send(self._draw_request())

    def _draw_request(self) -> CallerRequest:
        key = self._random.choice((KEY, KEY, OTHER_KEY))
        if self._random.random() < RESERVATION_SHARE:
            return self._reservation(key)
        route = self._random.choices(list(ROUTES), weights=ROUTE_WEIGHTS)[0]
        events = self._random.randrange(1, 40)
        if self._random.random() < LONG_STREAM_SHARE:
            events = self._random.randrange(*LONG_STREAM_EVENTS)
        if route == "long":
            prompt = self._random.randrange(120_000, 600_000)
            return self._deployment.request(route, events=events, prompt=prompt, key=key)
        return self._deployment.request(route, events=events, key=key)

    def _reservation(self, key: str) -> CallerRequest:
        request = self._deployment.request("book", key=key, work_ms=RESERVATION_WORK_MS)
        return replace(request, path="/reserve/1", deadline_ms=RESERVATION_DEADLINE_MS)
