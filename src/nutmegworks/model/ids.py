"""Types of the identifiers that several packages use."""
from __future__ import annotations

import typing

AttemptId = typing.NewType('AttemptId', str)
ClassId = typing.NewType('ClassId', str)
DomainId = typing.NewType('DomainId', str)
IdempotencyKey = typing.NewType('IdempotencyKey', str)
Incarnation = typing.NewType('Incarnation', str)
JobId = typing.NewType('JobId', str)
MemberId = typing.NewType('MemberId', str)
RackId = typing.NewType('RackId', str)
RequestId = typing.NewType('RequestId', str)
RunId = typing.NewType('RunId', str)
ServiceId = typing.NewType('ServiceId', str)
ShardId = typing.NewType('ShardId', str)
TeamId = typing.NewType('TeamId', str)
UpstreamId = typing.NewType('UpstreamId', str)
WorkerId = typing.NewType('WorkerId', str)

# Increases at every change of a shard's owner; workers reject lower values.
FencingToken = typing.NewType('FencingToken', int)
# The number of a configuration in the order of accepted changes.
ConfigSequence = typing.NewType('ConfigSequence', int)
# The revision of one key in the store; 0 means that the key is absent.
StoreRevision = typing.NewType('StoreRevision', int)

__all__ = (
    'AttemptId',
    'ClassId',
    'ConfigSequence',
    'DomainId',
    'FencingToken',
    'IdempotencyKey',
    'Incarnation',
    'JobId',
    'MemberId',
    'RackId',
    'RequestId',
    'RunId',
    'ServiceId',
    'ShardId',
    'StoreRevision',
    'TeamId',
    'UpstreamId',
    'WorkerId',
)
