"""The client-status service (CSDS): what each subscriber was sent, has accepted and has refused, by type."""

from __future__ import annotations

from collections.abc import Iterable

from envoy.admin.v3.config_dump_shared_pb2 import ClientResourceStatus
from envoy.service.status.v3.csds_pb2 import ClientStatusRequest, ClientStatusResponse, ConfigStatus

from ..codec.protos import held, parsed
from .session import Session


def client_status(data: bytes, sessions: Iterable[Session]) -> bytes:
    """The answer to a request: all subscribers, or those whose id it names exactly.  CodecError."""
    request = parsed(ClientStatusRequest, data)
    wanted = {matcher.node_id.exact for matcher in request.node_matchers if matcher.HasField("node_id")}
    answer = ClientStatusResponse()
    for session in sessions:
        node = session.machine.node
        if node is None or wanted and node.id not in wanted:
            continue
        told = answer.config.add()
        told.node.id, told.node.cluster = node.id, node.cluster
        told.node.user_agent_name = node.user_agent_name
        for type_url, (sent, accepted, why) in session.versions.items():
            one = told.generic_xds_configs.add(type_url=type_url, version_info=sent)
            if why:
                one.config_status, one.client_status = ConfigStatus.ERROR, ClientResourceStatus.NACKED
                one.error_state.version_info, one.error_state.details = sent, why
            elif sent == accepted:
                one.config_status, one.client_status = ConfigStatus.SYNCED, ClientResourceStatus.ACKED
            else:
                one.config_status, one.client_status = ConfigStatus.STALE, ClientResourceStatus.REQUESTED
    return held(answer)
