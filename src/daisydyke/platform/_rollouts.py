"""Orders of roll-outs in the platform's store."""

from __future__ import annotations

from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from .._ports import StoredObject
from .._rollouts._model import RolloutOrder, RolloutState
from .._settings._documents import decode
from ..exceptions import InvalidDocumentError, PlatformError
from ._pages import ROLLOUT_KIND
from ._store import ObjectStore

_NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]


class _Order(msgspec.Struct):
    service: _NonEmptyText
    target_version: _NonEmptyText
    duration_s: Annotated[float, msgspec.Meta(gt=0)]


class _Status(msgspec.Struct):
    # The values of the states are the platform's names of them.
    state: RolloutState
    target_version: str


class _Object(msgspec.Struct):
    spec: _Order
    status: msgspec.Raw = msgspec.Raw(b'null')
    created: int = 0


class RolloutStore:
    """Reads orders and writes their states."""

    def __init__(self, store: ObjectStore) -> None:
        """Initialize with the client of the store."""
        self._store = store

    async def read_order(
        self, name: str
    ) -> Result[RolloutOrder | None, PlatformError]:
        """Read an order; None if there is none that can be read."""
        outcome = await self._store.read(ROLLOUT_KIND, name)
        return outcome.map(
            lambda stored: (
                decode_order(stored).value_or(None) if stored else None
            )
        )

    async def write_state(
        self, order: RolloutOrder, state: RolloutState
    ) -> Result[int, PlatformError]:
        """Write the state of an order unless the object has changed."""
        status = _Status(state, order.target)
        return await self._store.write_status(
            ROLLOUT_KIND,
            order.name,
            msgspec.json.encode(status),
            order.store_version,
        )


def decode_order(
    stored: StoredObject,
) -> Result[RolloutOrder, InvalidDocumentError]:
    """Decode an order with its status.

    A status of another target version belongs to an earlier order, and one
    that cannot be read counts as none.

    Returns:
        A failure that names the object and the JSON path if the document is
        invalid or the object was deleted.
    """
    source = f'{stored.kind}/{stored.name}'
    decoded = decode(stored.text or b'', _Object, source)
    if not isinstance(decoded, Success):
        return Failure(decoded.failure())
    body = decoded.unwrap()
    return Success(
        RolloutOrder(
            stored.name,
            body.spec.service,
            body.spec.target_version,
            body.spec.duration_s,
            _decode_state(body, source),
            stored.version,
            body.created,
        )
    )


def _decode_state(body: _Object, source: str) -> RolloutState:
    status = decode(bytes(body.status), _Status, source).value_or(None)
    if status is None or status.target_version != body.spec.target_version:
        return RolloutState.ORDERED
    return status.state
