"""Intake: bounds what an entry instance buffers for others, and how many connections it accepts."""

from wasabiwell_entry.coordination.intake.account import IntakeAccount
from wasabiwell_entry.coordination.intake.coordinator import Intake

__all__ = ["Intake", "IntakeAccount"]
