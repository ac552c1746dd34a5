"""Proof that another VM's session or process has come to its end."""

from __future__ import annotations

from uuid import uuid4

import curio
import msgspec
from returns.result import Success

from .._domain._model import Holder
from .._members._membership import Membership
from .._ports import Clock, DecisionLog, Platform, StoredObject
from .._settings._daemon import LeaseSettings
from .._settings._documents import SessionDocument
from ._session import SESSION_KIND

_LIST_INTERVAL_S = 5.0
_ABSENT_READS = 3


class Fencing:
    """Fences silent VMs and learns which VMs the platform has removed."""

    def __init__(
        self,
        platform: Platform,
        membership: Membership,
        clock: Clock,
        settings: LeaseSettings,
        log: DecisionLog,
    ) -> None:
        """Start with no proof of anything."""
        self._platform = platform
        self._membership = membership
        self._clock = clock
        self._settings = settings
        self._log = log
        self._fenced: set[Holder] = set()
        self._fencing: dict[Holder, curio.Task] = {}
        self._listed: set[str] = set()
        self._absent: dict[str, int] = {}

    async def is_fenced(self, holder: Holder) -> bool:
        """Tell whether a holder's session is over; starts to fence it."""
        if holder in self._fenced:
            return True
        task = self._fencing.get(holder)
        if task is None or task.terminated:
            self._fencing[holder] = await curio.spawn(
                self._fence(holder),
                daemon=True,
            )
        return False

    def has_ended(self, holder: Holder) -> bool:
        """Tell whether a holder's process is known to have ended.

        The platform must have listed its VM, then left it out of several
        lists in a row while no member hears from it: the list lags, and an
        answer may be stale.
        """
        return self._absent.get(
            holder.vm, 0
        ) >= _ABSENT_READS and self._membership.is_dead(holder.vm)

    async def run_vm_list(self) -> None:
        """Read the platform's list of VMs until cancelled."""
        while True:
            outcome = await self._platform.list_vms()
            if isinstance(outcome, Success):
                self._note_list({vm.name for vm in outcome.unwrap()})
            await curio.sleep(_LIST_INTERVAL_S)

    def _note_list(self, names: set[str]) -> None:
        self._listed |= names
        for vm in names:
            self._absent.pop(vm, None)
        for vm in self._listed - names:
            self._absent[vm] = self._absent.get(vm, 0) + 1

    async def _fence(self, holder: Holder) -> None:
        first = await self._read(holder)
        settings = self._settings
        await curio.sleep(
            settings.session_ttl_s
            + settings.drift_margin_s
            + settings.longest_request_s,
        )
        second = await self._read(holder)
        if first is None or second is None or first != second:
            return
        if not self._membership.is_dead(holder.vm):
            return
        if await self._end_session(holder, second):
            self._fenced.add(holder)
            self._log.record('fenced', holder=holder.vm, start=holder.start)

    async def _read(self, holder: Holder) -> StoredObject | None:
        outcome = await self._platform.read(SESSION_KIND, holder.vm)
        return outcome.value_or(None)

    async def _end_session(self, holder: Holder, seen: StoredObject) -> bool:
        document = msgspec.json.decode(seen.text or b'', type=SessionDocument)
        if document.start != holder.start or document.fenced:
            # The named process is not the one that renews the session.
            return True
        fenced = SessionDocument(document.start, uuid4().hex, fenced=True)
        outcome = await self._platform.write(
            SESSION_KIND,
            holder.vm,
            msgspec.json.encode(fenced),
            seen.version,
        )
        return isinstance(outcome, Success)
