"""Capacity that an entry instance advertises, relative to other instances."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from wasabiwell_entry.coordination.addresses.const import (
    CAPACITY_HALF_LIFE,
    CAPACITY_SAMPLE_INTERVAL,
    FULL_CAPACITY_FACTOR,
    LOWERED_CAPACITY_FACTOR,
    MAX_COUNTED_SAMPLE,
    MILLICORES_PER_CORE,
    MILLICORES_PER_MB,
    MILLICORES_PER_MBPS,
    MIN_CAPACITY_FACTOR,
    OVERLOAD_THRESHOLD,
    PROCESS_MEMORY_MB,
)
from wasabiwell_entry.coordination.addresses.ports import OccupancySource
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """Limits of the machine that an entry instance runs on; 0 if a limit is unknown.

    `cpu_share` is the part of a core that the process gets, and `cores` how many times as fast as
    one core it runs. `link_mbps` is the bandwidth of the network link in Mbit/s.
    """

    cpu_share: float = 0.0
    cores: float = 0.0
    link_mbps: float = 0.0
    memory_mb: float = 0.0


def nominal_capacity(limits: MachineLimits) -> int:
    """Return the capacity of a machine in thousandths of a core, or 0 if it is unknown.

    The processor bounds the known machines. The link and the memory count only on a machine with
    so little of them that they are used up first.
    """
    bounds = [limits.cpu_share * limits.cores * MILLICORES_PER_CORE]
    if limits.link_mbps:
        bounds.append(limits.link_mbps * MILLICORES_PER_MBPS)
    if limits.memory_mb:
        bounds.append(max(1.0, limits.memory_mb - PROCESS_MEMORY_MB) * MILLICORES_PER_MB)
    if not bounds[0]:
        return 0
    return max(1, round(min(bounds)))


class AdvertisedCapacity:
    """Lowers the nominal capacity while a resource of the instance is nearly used up.

    Each of `occupancies`, by the name of its resource, returns the part of it that is in use.
    """

    __slots__ = ("_clock", "_factor", "_lowered", "_nominal", "_occupancies", "_sampled")

    def __init__(
        self, nominal: int, occupancies: Mapping[str, OccupancySource], clock: Clock
    ) -> None:
        self._nominal = nominal
        self._occupancies = occupancies
        self._clock = clock
        self._factor = 1.0
        self._lowered = False
        self._sampled = clock.monotonic()

    def current(self) -> int:
        """Return the capacity to advertise now, or 0 if the nominal one is unknown.

        The resources are examined at most once in `CAPACITY_SAMPLE_INTERVAL`.
        """
        if not self._nominal:
            return 0
        now = self._clock.monotonic()
        elapsed = now - self._sampled
        if elapsed >= CAPACITY_SAMPLE_INTERVAL:
            self._sampled = now
            self._sample(elapsed)
        factor = self._factor if self._factor < FULL_CAPACITY_FACTOR else 1.0
        return max(1, round(self._nominal * factor))

    def shares(self) -> dict[str, float]:
        """Return the nominal and the advertised capacity in cores."""
        values = {"nominal": self._nominal, "advertised": self.current()}
        return {name: value / MILLICORES_PER_CORE for name, value in values.items()}

    def _sample(self, elapsed: timedelta) -> None:
        occupied = {name: measure() for name, measure in self._occupancies.items()}
        scarcest = max(occupied, key=lambda name: occupied[name], default="")
        suggested = _suggested_factor(occupied.get(scarcest, 0.0))
        # A process that was paused has one sample for the whole pause.
        counted = min(elapsed, MAX_COUNTED_SAMPLE)
        retained = 0.5 ** (counted / CAPACITY_HALF_LIFE)
        self._factor = suggested + (self._factor - suggested) * retained
        if self._factor < LOWERED_CAPACITY_FACTOR and not self._lowered:
            self._lowered = True
            log_events.emit(
                log_events.CAPACITY_LOWERED,
                resource=scarcest,
                percent=round(100 * occupied[scarcest]),
                advertised=self.current(),
                nominal=self._nominal,
            )
        elif self._factor >= FULL_CAPACITY_FACTOR and self._lowered:
            self._lowered = False
            log_events.emit(log_events.CAPACITY_RESTORED, nominal=self._nominal)


def _suggested_factor(occupancy: float) -> float:
    """Return the part of the capacity to advertise while the scarcest resource is so occupied."""
    excess = (min(1.0, occupancy) - OVERLOAD_THRESHOLD) / (1.0 - OVERLOAD_THRESHOLD)
    return 1.0 - max(0.0, excess) * (1.0 - MIN_CAPACITY_FACTOR)
