"""This VM's session: the time-limited right to use its leases."""

from __future__ import annotations

from uuid import uuid4

import curio
import msgspec
from returns.result import Success

from .._decoding import DECODING_ERRORS
from .._domain._model import Holder
from .._ports import Clock, DecisionLog, Platform, StoredObject
from .._settings._daemon import LeaseSettings
from .._settings._documents import SessionDocument

SESSION_KIND = 'session'
_RENEWALS_PER_TTL = 3
_RETRY_INTERVAL_S = 0.5


class Session:
    """Renews a session object in the platform and tracks its expiry.

    A session expires its time to live after the latest successful renewal,
    measured from just before that renewal was sent. A renewal whose response
    is lost counts only if reading the object back shows its nonce. After
    another VM has fenced the session, the process continues as a new holder,
    so that leases of the fenced holder do not become valid again.

    Parameters:
        holder: VM and process that the session belongs to.
        platform: store of the session object.
        settings: time to live of the session.
    """

    def __init__(
        self,
        holder: Holder,
        platform: Platform,
        clock: Clock,
        settings: LeaseSettings,
        log: DecisionLog,
    ) -> None:
        """Initialize without a valid session."""
        self._holder = holder
        self._platform = platform
        self._clock = clock
        self._settings = settings
        self._log = log
        self._version: int | None = None
        self._valid_until = float('-inf')

    @property
    def holder(self) -> Holder:
        """Holder that the session belongs to; changes after fencing."""
        return self._holder

    def valid(self) -> bool:
        """Return whether the session has not expired."""
        return self._clock.monotonic() < self._valid_until

    async def run(self) -> None:
        """Renew the session periodically until cancelled."""
        interval = self._settings.session_ttl_s / _RENEWALS_PER_TTL
        while True:
            renewed = await self.renew()
            await curio.sleep(interval if renewed else _RETRY_INTERVAL_S)

    async def renew(self) -> bool:
        """Renew the session once and return whether the renewal succeeded."""
        if self._version is None and not await self._load_version():
            return False
        sent_at = self._clock.monotonic()
        nonce = uuid4().hex
        text = msgspec.json.encode(SessionDocument(self._holder.start, nonce))
        outcome = await self._platform.write(
            SESSION_KIND,
            self._holder.vm,
            text,
            self._version or 0,
        )
        if isinstance(outcome, Success):
            self._record_renewal(outcome.unwrap(), sent_at)
            return True
        return await self._resolve_failed_write(nonce, sent_at)

    def _record_renewal(self, version: int, sent_at: float) -> None:
        self._version = version
        self._valid_until = sent_at + self._settings.session_ttl_s

    async def _load_version(self) -> bool:
        outcome = await self._platform.read(SESSION_KIND, self._holder.vm)
        if not isinstance(outcome, Success):
            return False
        stored = outcome.unwrap()
        self._version = stored.version if stored else 0
        return True

    async def _resolve_failed_write(
        self,
        nonce: str,
        sent_at: float,
    ) -> bool:
        outcome = await self._platform.read(SESSION_KIND, self._holder.vm)
        if not isinstance(outcome, Success):
            return False
        stored = outcome.unwrap()
        document = _decode(stored)
        self._version = stored.version if stored else 0
        if document is None or document.nonce == nonce:
            return self._record_resolved_renewal(document, sent_at)
        if document.fenced or document.start != self._holder.start:
            self._replace_holder(document)
        return False

    def _record_resolved_renewal(
        self,
        document: SessionDocument | None,
        sent_at: float,
    ) -> bool:
        if document is None:
            return False
        self._record_renewal(self._version or 0, sent_at)
        return True

    def _replace_holder(self, document: SessionDocument) -> None:
        self._valid_until = float('-inf')
        start = max(self._holder.start, document.start) + 1
        self._holder = Holder(self._holder.vm, start)
        self._log.record('session_lost', start=start)


def _decode(stored: StoredObject | None) -> SessionDocument | None:
    if stored is None or stored.text is None:
        return None
    try:
        return msgspec.json.decode(stored.text, type=SessionDocument)
    except DECODING_ERRORS:
        # Another writer has replaced it; the next renewal overwrites it.
        return None
