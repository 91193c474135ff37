"""Supervision of background tasks: one that fails is started again."""

from wasabiwell_entry.coordination.supervision.supervisor import Supervisor

__all__ = ["Supervisor"]
