"""Starting, watching and stopping the processes of a run."""

from collections.abc import Mapping
from collections.abc import Sequence
import os
import pathlib
import signal
import subprocess
import sys
import time

import banyandale_core as core

MAX_PROCESSES = 60
# Gateways drain for about 3 s before they exit.
STOP_TIMEOUT_SECONDS = 10.0
KILL_TIMEOUT_SECONDS = 5.0
LOG_TAIL_BYTES = 2000


class ProcessError(core.CodedError):
    """A process exited unexpectedly, or too many are running."""

    code = "process_failed"


class Processes:
    """All processes of one run; their output goes to files in `folder`."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        self._folder = folder
        self._running: dict[str, subprocess.Popen] = {}

    def start(
        self,
        name: str,
        arguments: Sequence[str],
        *,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """Starts `python -m <arguments>` under a name that is not in use.

        Raises:
            ProcessError: `MAX_PROCESSES` are running already.
        """
        if len(self._running) >= MAX_PROCESSES:
            raise ProcessError(
                f"cannot start {name}: {MAX_PROCESSES} processes are running"
            )
        with self._log_path(name).open("ab") as log:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                env={**os.environ, **(environment or {})},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _log_path(self, name: str) -> pathlib.Path:
        return self._folder / f"{name}.log"

    def names(self) -> tuple[str, ...]:
        """Returns the names of the processes that have not been stopped."""
        return tuple(self._running)

    def check_running(self) -> None:
        """Raises `ProcessError` if a process has exited unexpectedly."""
        for name, process in self._running.items():
            status = process.poll()
            if status is not None:
                raise ProcessError(
                    f"{name} exited with status {status}: {self.read_log(name)}"
                )

    def is_running(self, name: str) -> bool:
        """Returns whether the process has not exited."""
        return self._running[name].poll() is None

    def read_resident_bytes(self, name: str) -> int:
        """Returns the resident memory of a running process in bytes."""
        statm = pathlib.Path(f"/proc/{self._running[name].pid}/statm")
        return int(statm.read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a running process."""
        self._running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Ends a process with SIGKILL, even one paused with SIGSTOP."""
        process = self._running.pop(name)
        process.kill()
        process.wait(KILL_TIMEOUT_SECONDS)

    def wait(self, name: str, *, deadline: float) -> int:
        """Waits until a process exits; returns its status.

        Args:
            name: Name of the process.
            deadline: When to give up, in monotonic seconds.

        Raises:
            subprocess.TimeoutExpired: It is still running.
        """
        status = self._running[name].wait(deadline - time.monotonic())
        del self._running[name]
        return status

    def read_log(self, name: str) -> str:
        """Returns the last part of a process's output."""
        data = self._log_path(name).read_bytes()
        return data[-LOG_TAIL_BYTES:].decode(errors="replace")

    def read_cpu_seconds(self, name: str) -> float:
        """Returns the processor time that a running process has used."""
        stat = pathlib.Path(f"/proc/{self._running[name].pid}/stat")
        # Split after the command name, which may contain spaces.
        fields = stat.read_text().rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def stop(self, names: Sequence[str]) -> dict[str, int]:
        """Stops processes with SIGTERM, or SIGKILL if they do not exit in time.

        Returns:
            Exit status by name; the negative signal number for a process
            ended by a signal.
        """
        processes = {name: self._running.pop(name) for name in names}
        for process in processes.values():
            process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for process in processes.values():
            try:
                process.wait(max(deadline - time.monotonic(), 0.0))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait(KILL_TIMEOUT_SECONDS)
        return {name: process.returncode for name, process in processes.items()}

    def stop_all(self) -> dict[str, int]:
        """Stops all processes, the last started first."""
        return self.stop(tuple(reversed(self._running)))
