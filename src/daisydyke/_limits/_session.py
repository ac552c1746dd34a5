"""This VM's session: the time-limited right to use what it leases."""

from __future__ import annotations

from uuid import uuid4

import curio
import msgspec
from returns.result import Success

from .._domain._model import Holder
from .._ports import Clock, DecisionLog, Platform, StoredObject
from .._settings._daemon import LeaseSettings
from .._settings._documents import SessionDocument

SESSION_KIND = 'session'
_RENEWALS_PER_TTL = 3
_RETRY_S = 0.5


class Session:
    """Renews one object in the platform and knows until when it counts.

    A session counts for its time to live after the moment just before its
    latest successful renewal was sent. A renewal whose reply is lost counts
    only once reading back shows its nonce. Once another VM has fenced the
    session, the process goes on as a new holder, so that no lease of the
    fenced one is covered again.
    """

    def __init__(
        self,
        holder: Holder,
        platform: Platform,
        clock: Clock,
        settings: LeaseSettings,
        log: DecisionLog,
    ) -> None:
        """Start without a session."""
        self._holder = holder
        self._platform = platform
        self._clock = clock
        self._settings = settings
        self._log = log
        self._version: int | None = None
        self._valid_until = float('-inf')

    @property
    def holder(self) -> Holder:
        """The process that the session is of."""
        return self._holder

    def valid(self) -> bool:
        """Tell whether the session counts at this moment."""
        return self._clock.monotonic() < self._valid_until

    async def run(self) -> None:
        """Renew until cancelled."""
        interval = self._settings.session_ttl_s / _RENEWALS_PER_TTL
        while True:
            renewed = await self.renew()
            await curio.sleep(interval if renewed else _RETRY_S)

    async def renew(self) -> bool:
        """Renew once; tells whether the session counts anew."""
        if self._version is None and not await self._find_version():
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
            self._accept(outcome.unwrap(), sent_at)
            return True
        return await self._resolve(nonce, sent_at)

    def _accept(self, version: int, sent_at: float) -> None:
        self._version = version
        self._valid_until = sent_at + self._settings.session_ttl_s

    async def _find_version(self) -> bool:
        outcome = await self._platform.read(SESSION_KIND, self._holder.vm)
        if not isinstance(outcome, Success):
            return False
        stored = outcome.unwrap()
        self._version = stored.version if stored else 0
        return True

    async def _resolve(
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
            return self._accept_resolved(document, sent_at)
        if document.fenced or document.start != self._holder.start:
            self._lose(document)
        return False

    def _accept_resolved(
        self,
        document: SessionDocument | None,
        sent_at: float,
    ) -> bool:
        if document is None:
            return False
        self._accept(self._version or 0, sent_at)
        return True

    def _lose(self, document: SessionDocument) -> None:
        self._valid_until = float('-inf')
        start = max(self._holder.start, document.start) + 1
        self._holder = Holder(self._holder.vm, start)
        self._log.record('session_lost', start=start)


def _decode(stored: StoredObject | None) -> SessionDocument | None:
    if stored is None or stored.text is None:
        return None
    return msgspec.json.decode(stored.text, type=SessionDocument)
