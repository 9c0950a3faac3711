"""Decode messages of other hosts without the parts that cannot be read."""

from collections.abc import Callable
from typing import Any, get_args, get_origin

import msgspec
from msgspec import structs

from cicadadoor.entry.heartbeats import HostHeartbeat
from cicadadoor.entry.model import Record, Snapshot
from cicadadoor.telemetry import logs

log = logs.logger('neighbours')

_MISSING = object()
_UNREADABLE = (msgspec.MsgspecError, RecursionError)
_HEARTBEAT_FIELDS = structs.fields(HostHeartbeat)
_decode_heartbeat = msgspec.msgpack.Decoder(HostHeartbeat).decode
_decode_record = msgspec.msgpack.Decoder(Record | None).decode


class EncodedSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a snapshot whose records are still encoded."""

    revision: int
    records: dict[str, msgspec.Raw]
    era: int = 0


def encode_snapshot(snapshot: Snapshot) -> EncodedSnapshot:
    """Encode each record of a snapshot."""
    return EncodedSnapshot(
        era=snapshot.era,
        revision=snapshot.revision,
        records={
            name: msgspec.Raw(msgspec.msgpack.encode(record))
            for name, record in snapshot.records.items()
        },
    )


def decode_snapshot(encoded: EncodedSnapshot) -> Snapshot:
    """Decode each record of a snapshot; unreadable ones are None."""
    records = {
        name: _decode_or(_MISSING, _decode_record, record)
        for name, record in encoded.records.items()
    }
    unreadable = [name for name, record in records.items() if record is _MISSING]
    if unreadable:
        log.warning('records_unreadable', names=','.join(sorted(unreadable)))
        records.update(dict.fromkeys(unreadable))
    return Snapshot(era=encoded.era, revision=encoded.revision, records=records)


def decode_heartbeat(encoded: bytes) -> HostHeartbeat:
    """Decode a heartbeat without its unreadable optional fields and their entries.

    Raise msgspec.MsgspecError or RecursionError if a required field is unreadable.
    """
    try:
        return _decode_heartbeat(encoded)
    except _UNREADABLE as error:
        parts = msgspec.msgpack.decode(encoded, type=list[msgspec.Raw])
        if len(parts) < sum(field.required for field in _HEARTBEAT_FIELDS):
            raise
        log.warning('heartbeat_partly_unreadable', error=error)
    return HostHeartbeat(
        **{
            field.name: _decode_field(field, part)
            for field, part in zip(_HEARTBEAT_FIELDS, parts, strict=False)
        }
    )


def _decode_field(field: structs.FieldInfo, encoded: msgspec.Raw) -> Any:
    decode = msgspec.msgpack.Decoder(field.type).decode
    if field.required:
        return decode(encoded)
    if get_origin(field.type) is not dict:
        return _decode_or(_default(field), decode, encoded)
    key_type, value_type = get_args(field.type)
    decode_parts = msgspec.msgpack.Decoder(dict[key_type, msgspec.Raw]).decode
    decode_value = msgspec.msgpack.Decoder(value_type).decode
    decoded = {
        key: _decode_or(_MISSING, decode_value, part)
        for key, part in _decode_or({}, decode_parts, encoded).items()
    }
    return {key: each for key, each in decoded.items() if each is not _MISSING}


def _default(field: structs.FieldInfo) -> Any:
    if field.default is structs.NODEFAULT:
        return field.default_factory()
    return field.default


def _decode_or(
    default: Any, decode: Callable[[msgspec.Raw], Any], encoded: msgspec.Raw
) -> Any:
    try:
        return decode(encoded)
    except _UNREADABLE:
        return default
