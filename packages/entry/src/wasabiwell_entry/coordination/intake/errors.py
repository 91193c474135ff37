"""Reasons for rejecting a request or closing a connection, as metrics and log events name them."""

import enum


class IntakeReason(enum.Enum):
    """Why a request was rejected, or a connection closed, to protect the process."""

    SLOWEST_BODY = "slowest_body"
    NO_MEMORY = "no_memory"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    UNREAD_RESPONSE = "unread_response"
