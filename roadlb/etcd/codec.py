"""Between plain data and etcd's published v3 messages, both ways: client and stand-in share it.

The message classes are those of `etcd-sdk-python`, of which nothing else is used.
"""

from __future__ import annotations

from typing import Any, Final, TypeAlias

from pyetcd.etcdrpc import kv_pb2, rpc_pb2

from .model import (
    Change,
    Compact,
    Compare,
    Decided,
    Delete,
    Field,
    Get,
    Got,
    Grant,
    KeepAlive,
    Leased,
    News,
    Operation,
    Pair,
    Put,
    Relation,
    Reply,
    Request,
    Revoke,
    Txn,
    Written,
)

Wire: TypeAlias = Any

KV, LEASE, WATCH = "etcdserverpb.KV", "etcdserverpb.Lease", "etcdserverpb.Watch"

# By request: the method, its messages.  A keep-alive travels as the one message of a stream.
METHODS: Final[dict[type[Request], tuple[str, str, Wire, Wire]]] = {
    Get: (KV, "Range", rpc_pb2.RangeRequest, rpc_pb2.RangeResponse),
    Put: (KV, "Put", rpc_pb2.PutRequest, rpc_pb2.PutResponse),
    Delete: (KV, "DeleteRange", rpc_pb2.DeleteRangeRequest, rpc_pb2.DeleteRangeResponse),
    Txn: (KV, "Txn", rpc_pb2.TxnRequest, rpc_pb2.TxnResponse),
    Compact: (KV, "Compact", rpc_pb2.CompactionRequest, rpc_pb2.CompactionResponse),
    Grant: (LEASE, "LeaseGrant", rpc_pb2.LeaseGrantRequest, rpc_pb2.LeaseGrantResponse),
    KeepAlive: (LEASE, "LeaseKeepAlive", rpc_pb2.LeaseKeepAliveRequest, rpc_pb2.LeaseKeepAliveResponse),
    Revoke: (LEASE, "LeaseRevoke", rpc_pb2.LeaseRevokeRequest, rpc_pb2.LeaseRevokeResponse),
}
WatchRequest, WatchResponse = rpc_pb2.WatchRequest, rpc_pb2.WatchResponse
_FIELDS = {
    Field.VERSION: "version",
    Field.CREATED: "create_revision",
    Field.MODIFIED: "mod_revision",
    Field.VALUE: "value",
    Field.LEASE: "lease",
}
_BRANCHES: dict[type[Operation], tuple[str, str]] = {
    Get: ("request_range", "response_range"),
    Put: ("request_put", "response_put"),
    Delete: ("request_delete_range", "response_delete_range"),
}
_REQUEST_OF = {there: kind for kind, (there, _) in _BRANCHES.items()}
_RESPONSE_OF = {back: kind for kind, (_, back) in _BRANCHES.items()}


# Requests


def write_request(request: Request) -> Wire:
    match request:
        case Get(key, end, revision, most):
            return rpc_pb2.RangeRequest(key=key, range_end=end, revision=revision, limit=most)
        case Put(key, value, lease):
            return rpc_pb2.PutRequest(key=key, value=value, lease=lease)
        case Delete(key, end):
            return rpc_pb2.DeleteRangeRequest(key=key, range_end=end)
        case Txn(compares, then, otherwise):
            return rpc_pb2.TxnRequest(
                compare=map(_compare, compares),
                success=map(_operation, then),
                failure=map(_operation, otherwise),
            )
        case Grant(ttl_s):
            return rpc_pb2.LeaseGrantRequest(TTL=ttl_s)
        case KeepAlive(lease):
            return rpc_pb2.LeaseKeepAliveRequest(ID=lease)
        case Revoke(lease):
            return rpc_pb2.LeaseRevokeRequest(ID=lease)
        case Compact(revision):
            return rpc_pb2.CompactionRequest(revision=revision)


def read_request(kind: type[Request], wire: Wire) -> Request:
    """ValueError, for a person, where the wire asks for what nobody here serves."""
    if kind is Get:
        return Get(wire.key, wire.range_end, wire.revision, wire.limit)
    if kind is Put:
        return Put(wire.key, wire.value, wire.lease)
    if kind is Delete:
        return Delete(wire.key, wire.range_end)
    if kind is Txn:
        return Txn(
            tuple(map(_read_compare, wire.compare)),
            tuple(map(_read_operation, wire.success)),
            tuple(map(_read_operation, wire.failure)),
        )
    if kind is Grant:
        return Grant(wire.TTL)
    if kind is Compact:
        return Compact(wire.revision)
    return KeepAlive(wire.ID) if kind is KeepAlive else Revoke(wire.ID)


def _compare(compare: Compare) -> Wire:
    return rpc_pb2.Compare(
        result=compare.relation.value,
        target=compare.field.value,
        key=compare.key,
        range_end=compare.end,
        **{_FIELDS[compare.field]: compare.than},
    )


def _read_compare(wire: Wire) -> Compare:
    field = Field(wire.target)
    return Compare(wire.key, field, Relation(wire.result), getattr(wire, _FIELDS[field]), wire.range_end)


def _operation(operation: Operation) -> Wire:
    return rpc_pb2.RequestOp(**{_BRANCHES[type(operation)][0]: write_request(operation)})


def _read_operation(wire: Wire) -> Operation:
    branch = wire.WhichOneof("request")
    if branch not in _REQUEST_OF:
        raise ValueError(f"operation {branch!r} is not served here; use range, put or delete_range")
    read = read_request(_REQUEST_OF[branch], getattr(wire, branch))
    assert isinstance(read, Get | Put | Delete)
    return read


# Replies


def write_reply(kind: type[Request], reply: Reply) -> Wire:
    header = rpc_pb2.ResponseHeader(revision=reply.revision)
    match reply:
        case Got(_, pairs, count):
            return rpc_pb2.RangeResponse(
                header=header, kvs=map(_pair, pairs), count=count, more=count > len(pairs)
            )
        case Written(_, deleted):
            made: Wire = METHODS[kind][3](header=header)
            if deleted is not None:
                made.deleted = deleted
            return made
        case Decided(_, held, answers):
            return rpc_pb2.TxnResponse(header=header, succeeded=held, responses=map(_answer, answers))
        case Leased(_, lease, ttl_s):
            if kind is Revoke:
                return rpc_pb2.LeaseRevokeResponse(header=header)
            return METHODS[kind][3](header=header, ID=lease, TTL=ttl_s)


def read_reply(kind: type[Request], wire: Wire) -> Reply:
    revision = wire.header.revision
    if kind is Get:
        return Got(revision, tuple(map(_read_pair, wire.kvs)), wire.count)
    if kind is Txn:
        return Decided(revision, wire.succeeded, tuple(map(_read_answer, wire.responses)))
    if kind is Delete:
        return Written(revision, wire.deleted)
    if kind in (Grant, KeepAlive):
        return Leased(revision, wire.ID, wire.TTL)
    return Written(revision)


def _answer(answer: Got | Written) -> Wire:
    if isinstance(answer, Got):
        return rpc_pb2.ResponseOp(response_range=write_reply(Get, answer))
    if answer.deleted is None:
        return rpc_pb2.ResponseOp(response_put=write_reply(Put, answer))
    return rpc_pb2.ResponseOp(response_delete_range=write_reply(Delete, answer))


def _read_answer(wire: Wire) -> Got | Written:
    branch = wire.WhichOneof("response")
    reply = read_reply(_RESPONSE_OF[branch], getattr(wire, branch))
    assert isinstance(reply, Got | Written)
    return reply


def _pair(pair: Pair) -> Wire:
    return kv_pb2.KeyValue(
        key=pair.key,
        value=pair.value,
        create_revision=pair.created,
        mod_revision=pair.modified,
        version=pair.version,
        lease=pair.lease,
    )


def _read_pair(wire: Wire) -> Pair:
    return Pair(wire.key, wire.value, wire.create_revision, wire.mod_revision, wire.version, wire.lease)


# Watches


def write_watch(key: bytes, end: bytes, start: int) -> Wire:
    return WatchRequest(
        create_request=rpc_pb2.WatchCreateRequest(key=key, range_end=end, start_revision=start)
    )


def write_news(watch: int, news: News) -> Wire:
    return WatchResponse(
        header=rpc_pb2.ResponseHeader(revision=news.revision),
        watch_id=watch,
        events=[kv_pb2.Event(type=int(change.deleted), kv=_pair(change.pair)) for change in news.changes],
    )


def read_news(wire: Wire) -> News:
    return News(
        wire.header.revision, tuple(Change(_read_pair(event.kv), bool(event.type)) for event in wire.events)
    )
