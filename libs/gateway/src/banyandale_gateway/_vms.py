"""Watches the platform's list of VMs."""

from collections.abc import Callable

from absl import logging
import curio

import banyandale_core as core
import banyandale_platform as platform

# A VM that starts leaving must get no new work after 3 s. One poll interval
# plus the delay of the list must fit into this time.
POLL_SECONDS = 1.0


class VmWatcher:
    """Tracks the IP addresses of VMs that are leaving.

    The list is delayed, so a VM that is not listed counts as present: a new
    backend server may get work before its VM is listed.
    """

    def __init__(
        self,
        *,
        vm_list: platform.VmList,
        on_change: Callable[[], None],
        metrics: core.Metrics,
    ) -> None:
        self._vm_list = vm_list
        self._on_change = on_change
        self._metrics = metrics
        self._leaving: frozenset[str] = frozenset()

    @property
    def leaving(self) -> frozenset[str]:
        """IP addresses of the VMs that are leaving."""
        return self._leaving

    async def run(self) -> None:
        """Polls the list until cancelled."""
        while True:
            await self._poll()
            await curio.sleep(POLL_SECONDS)

    async def _poll(self) -> None:
        try:
            vms = await self._vm_list.fetch()
        except core.CodedError as error:
            self._metrics.incr(f"vm_list_failed.{error.code}")
            return
        leaving = frozenset(vm.address for vm in vms if vm.leaving)
        if leaving != self._leaving:
            logging.info("VMs leaving: %s", sorted(leaving) or "none")
            self._leaving = leaving
            self._on_change()
