"""Encoding of orders to engines."""

from dataclasses import asdict

import msgspec

from wasabiwell_entry.state.orders import ChangeRole, EngineOrder, LoadAdapter, LoadModel


def encode_order(order: EngineOrder, fencing: int) -> bytes:
    """Return the body of `POST /v1/orders`."""
    match order:
        case LoadModel():
            kind = "load_model"
        case LoadAdapter():
            kind = "load_adapter"
        case ChangeRole():
            kind = "change_role"
    return msgspec.json.encode({"kind": kind, "fencing": fencing, **asdict(order)})
