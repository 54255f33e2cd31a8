"""gRPC's health service: `grpc.health.v1`, of which two fields are needed and no package is pinned.

`HealthCheckRequest.service` is field 1, a text; `HealthCheckResponse.status` is field 1, an enum.
"""

from __future__ import annotations

UNKNOWN, SERVING, WAITING = 0, 1, 2          # the enum: UNKNOWN, SERVING, NOT_SERVING
STATUS = bytes([1 << 3])                     # tag of the answer's field


def health(request: bytes, status: int) -> bytes:
    """The answer for the whole server; all its services have the same health, whichever is named."""
    del request
    return STATUS + bytes([status])
