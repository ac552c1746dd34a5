"""Fencing of other VMs' sessions and detection of removed VMs."""

from __future__ import annotations

from uuid import uuid4

import curio
import msgspec
from returns.result import Success

from .._decoding import DECODING_ERRORS
from .._domain._model import Holder
from .._members._membership import Membership
from .._ports import Clock, DecisionLog, Platform, StoredObject
from .._settings._daemon import LeaseSettings
from .._settings._documents import SessionDocument
from ._session import SESSION_KIND

_VM_LIST_INTERVAL_S = 5.0
_REQUIRED_ABSENT_LIST_COUNT = 3


class Fencing:
    """Fences unresponsive VMs and tracks which VMs the platform has removed.

    Parameters:
        platform: store of session objects and source of the VM list.
        membership: tells whether a VM is considered dead.
        settings: durations that determine the fencing delay.
    """

    def __init__(
        self,
        platform: Platform,
        membership: Membership,
        clock: Clock,
        settings: LeaseSettings,
        log: DecisionLog,
    ) -> None:
        """Initialize with no fenced sessions and no VM list."""
        self._platform = platform
        self._membership = membership
        self._clock = clock
        self._settings = settings
        self._log = log
        self._fenced: set[Holder] = set()
        self._fencing_tasks: dict[Holder, curio.Task] = {}
        self._listed_vms: set[str] = set()
        self._absent_list_counts: dict[str, int] = {}

    async def ensure_fenced(self, holder: Holder) -> bool:
        """Fence a holder's session in the background if it is not fenced yet.

        Returns:
            Whether the session is fenced already.
        """
        if holder in self._fenced:
            return True
        task = self._fencing_tasks.get(holder)
        if task is None or task.terminated:
            self._fencing_tasks[holder] = await curio.spawn(
                self._fence(holder),
                daemon=True,
            )
        return False

    def has_ended(self, holder: Holder) -> bool:
        """Return whether a holder's process is known to have ended.

        The platform must have listed the VM before and omitted it from
        several consecutive lists, and membership must consider it dead. One
        list is not enough, since the platform's list lags and a response may
        be stale.
        """
        return self._absent_list_counts.get(
            holder.vm, 0
        ) >= _REQUIRED_ABSENT_LIST_COUNT and self._membership.is_dead(holder.vm)

    async def run_vm_list(self) -> None:
        """Poll the platform's list of VMs until cancelled."""
        while True:
            outcome = await self._platform.list_vms()
            if isinstance(outcome, Success):
                self._record_vm_list({vm.name for vm in outcome.unwrap()})
            await curio.sleep(_VM_LIST_INTERVAL_S)

    def _record_vm_list(self, names: set[str]) -> None:
        self._listed_vms |= names
        for vm in names:
            self._absent_list_counts.pop(vm, None)
        for vm in self._listed_vms - names:
            self._absent_list_counts[vm] = (
                self._absent_list_counts.get(vm, 0) + 1
            )

    async def _fence(self, holder: Holder) -> None:
        initial = await self._read_session(holder)
        settings = self._settings
        # After this delay, a session that is not renewed has expired, and the
        # requests sent under it have ended.
        await curio.sleep(
            settings.session_ttl_s
            + settings.drift_margin_s
            + settings.longest_request_s,
        )
        latest = await self._read_session(holder)
        if initial is None or latest is None or initial != latest:
            return
        if not self._membership.is_dead(holder.vm):
            return
        if await self._end_session(holder, latest):
            self._fenced.add(holder)
            self._log.record('fenced', holder=holder.vm, start=holder.start)

    async def _read_session(self, holder: Holder) -> StoredObject | None:
        outcome = await self._platform.read(SESSION_KIND, holder.vm)
        return outcome.value_or(None)

    async def _end_session(
        self, holder: Holder, observed: StoredObject
    ) -> bool:
        document = _decode(observed, holder)
        if document.start != holder.start or document.fenced:
            # The session is fenced already, or another process renews it.
            return True
        fenced = SessionDocument(document.start, uuid4().hex, fenced=True)
        outcome = await self._platform.write(
            SESSION_KIND,
            holder.vm,
            msgspec.json.encode(fenced),
            observed.version,
        )
        return isinstance(outcome, Success)


def _decode(stored: StoredObject, holder: Holder) -> SessionDocument:
    try:
        return msgspec.json.decode(stored.text or b'', type=SessionDocument)
    except DECODING_ERRORS:
        # Another writer has replaced the session, which ends it as well.
        return SessionDocument(holder.start, '')
