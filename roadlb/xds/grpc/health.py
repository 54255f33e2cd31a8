"""gRPC's health service: `grpc.health.v1`, of which two fields are needed and no package is pinned.

`HealthCheckRequest.service` is field 1, a text; `HealthCheckResponse.status` is field 1, an enum.
"""

from __future__ import annotations

SERVING, WAITING = 1, 2  # of the enum: SERVING, NOT_SERVING
STATUS = bytes([1 << 3])  # tag of the answer's field


def health(status: int) -> bytes:
    """The answer for the whole server; all its services have the same health, whichever is named."""
    return STATUS + bytes([status])
