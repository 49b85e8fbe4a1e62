"""Compares a session of an operator and a caller with a recorded transcript.

`REWRITE_GOLDEN=1` records the transcript again; review the difference
before committing it.
"""

import difflib
import json
import os
import pathlib
import re
import subprocess
import sys
import time

import curio

import banyandale_http as http
import banyandale_standins as standins
import cluster as clusters

GOLDEN = pathlib.Path(__file__).parent / "golden" / "session.txt"
# Not named BANYANDALE_...: the program rejects unknown variables of that form.
REWRITE_VARIABLE = "REWRITE_GOLDEN"
COMMAND_SECONDS = 12.0
KEY = (b"idempotency-key", b"order-1")
SHOWN_HEADERS = (
    b"banyandale-run",
    b"banyandale-reason",
    b"idempotency-replayed",
    b"cache-control",
)

DEPLOYMENT = standins.Deployment(
    name="session",
    zones=("a", "b", "c"),
    gateways=3,
    connections=200,
    services=(
        standins.ServicePlan(
            name="catalogue",
            servers=3,
            priority=1,
            profile=standins.ServiceProfile(mean_ms=5),
        ),
        standins.ServicePlan(
            name="ledger",
            servers=3,
            priority=0,
            profile=standins.ServiceProfile(mean_ms=5),
            method="POST",
            keyed=True,
        ),
    ),
    cold=standins.ColdSettings(warm_requests=0),
    neighbours=standins.EpisodeSettings(share=0),
)

# Values that differ from run to run, with their placeholders. Ports are
# replaced by their offset from the first port of the cluster.
VOLATILE_PATTERNS = (
    (re.compile(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ"), "TIME"),
    (re.compile(r'"valid_until": [\d.]+'), '"valid_until": UNIX'),
)


class Transcript:
    """Runs commands and requests and records their output."""

    def __init__(self, cluster: clusters.Cluster, folder: pathlib.Path):
        self._cluster = cluster
        self._folder = folder
        self._port = cluster.system.deployment.port
        self._text = ""

    def text(self) -> str:
        """Returns the transcript without volatile values."""
        text = re.sub(
            r"(127\.0\.\d+\.\d+):(\d+)",
            lambda found: f"{found[1]}:PORT+{int(found[2]) - self._port}",
            self._text,
        )
        for pattern, replacement in VOLATILE_PATTERNS:
            text = pattern.sub(replacement, text)
        return text

    async def run_command(self, *arguments: str) -> None:
        """Runs one command in the folder of the documents."""
        self._text += await self._run(*arguments)

    async def run_read_only(self, *commands: tuple[str, ...]) -> None:
        """Runs read-only commands concurrently."""
        async with curio.TaskGroup() as group:
            tasks = [
                await group.spawn(self._run, *arguments)
                for arguments in commands
            ]
        self._text += "".join(task.result for task in tasks)

    async def _run(self, *arguments: str) -> str:
        command = [sys.executable, "-m", "banyandale", *arguments]
        deployment = self._cluster.system.deployment
        environment = {
            **os.environ,
            "BANYANDALE_PLATFORM": deployment.platform_address(),
            "BANYANDALE_AUTHOR": "duty",
        }
        result = await curio.run_in_thread(
            lambda: subprocess.run(
                command,
                cwd=self._folder,
                env=environment,
                stdin=subprocess.DEVNULL,
                capture_output=True,
                text=True,
                timeout=COMMAND_SECONDS,
                check=False,
            )
        )
        text = f"$ banyandale {' '.join(arguments)}\n{result.stdout}"
        for line in result.stderr.splitlines():
            text += f"stderr: {line}\n"
        return f"{text}exit code {result.returncode}\n\n"

    async def call(
        self,
        service: str,
        *,
        method: bytes = b"GET",
        target: bytes = b"/item",
        body: bytes = b"",
        headers: http.Headers = (),
    ) -> None:
        """Sends one request to the first gateway."""
        response = await self._cluster.call(
            self._cluster.system.gateways[0],
            service,
            method=method,
            target=target,
            body=body,
            headers=headers,
        )
        header_text = b" ".join(b"%s: %s;" % pair for pair in headers).decode()
        self._text += (
            f"> {method.decode()} {target.decode()} service: {service};"
            f" {header_text} body: {body.decode()!r}\n"
        )
        self._record_response(response, target)

    def _record_response(self, response: http.Response, target: bytes) -> None:
        self._text += f"< {response.status}\n"
        for name in SHOWN_HEADERS:
            value = response.header(name)
            if value is not None:
                self._text += f"< {name.decode()}: {value.decode()}\n"
        if response.header(b"content-type") == b"application/json":
            self._text += f"< {response.body.decode()}\n"
        else:
            fault = standins.find_fault(target, response.body)
            self._text += f"< body: {fault or 'whole'}\n"
        self._text += "\n"

    async def send(self, data: bytes) -> None:
        """Sends raw bytes; records the complete response."""
        deadline = time.monotonic() + clusters.CALL_SECONDS
        sock = await http.open_socket(
            address=self._cluster.system.gateways[0].listen,
            source=None,
            deadline=deadline,
        )
        received = b""
        async with sock, curio.timeout_after(clusters.CALL_SECONDS):
            await sock.sendall(data)
            while chunk := await sock.recv(65536):
                received += chunk
        self._text += f"> {data!r}\n"
        for line in received.decode().splitlines():
            self._text += f"< {line}\n"
        self._text += "\n"

    def write_document(self, name: str, document: object) -> None:
        """Writes a document that the commands read."""
        (self._folder / name).write_text(json.dumps(document))


def compare(text: str) -> None:
    """Compares a transcript with the golden file, after an optional rewrite."""
    if os.environ.get(REWRITE_VARIABLE):
        GOLDEN.write_text(text)
    difference = difflib.unified_diff(
        GOLDEN.read_text().splitlines(),
        text.splitlines(),
        "golden/session.txt",
        "this run",
        lineterm="",
    )
    assert not (lines := list(difference)), "\n".join(lines)


async def run_commands(cluster, transcript):
    document = cluster.system.deployment.build_document()
    document["services"][0]["queue_limit"] = 50
    transcript.write_document("good.json", document)
    bad = cluster.system.deployment.build_document()
    bad["services"][0]["timeout_ms"] = -1
    bad["services"][1]["servers"][0]["zone"] = "d"
    bad["colour"] = "red"
    transcript.write_document("bad.json", bad)
    await transcript.run_read_only(
        ("config", "check", "good.json"),
        ("config", "check", "bad.json"),
        ("config", "apply", "bad.json", "--base=1"),
        ("config", "apply", "good.json"),
    )
    await transcript.run_command(
        "config", "apply", "good.json", "--base=1", "-y", "-m", "short queue"
    )
    document["services"][0]["queue_limit"] = 60
    transcript.write_document("late.json", document)
    await transcript.run_command(
        "config", "apply", "late.json", "--base=1", "-y"
    )
    await transcript.run_command("zone", "out", "b")
    await transcript.run_command("zone", "out", "d")
    await transcript.run_command("zone", "in", "b")
    await transcript.run_read_only(
        ("config", "show"), ("config", "history"), ("status",)
    )


async def run_requests(transcript):
    lookup = b"/v1/addresses?service=catalogue&zone=a"
    await transcript.call("", target=lookup)
    await transcript.call("", target=b"/v1/addresses?service=catalogue")
    await transcript.call("catalogue")
    await transcript.call("nothing")
    await transcript.call("catalogue", headers=((b"request-deadline", b"x"),))
    await transcript.send(b"GET item HTTP\r\n\r\n")
    for body in (b"pole", b"pole", b"another pole"):
        await transcript.call(
            "ledger", method=b"POST", body=body, headers=(KEY,)
        )


async def run_without_platform(cluster, transcript):
    await cluster.set_platform_faults(down=True)
    await transcript.run_read_only(("config", "show"), ("zone", "out", "a"))
    await transcript.call("catalogue")
    await transcript.call(
        "ledger",
        method=b"POST",
        headers=((b"idempotency-key", b"order-2"),),
    )


def test_session_is_as_recorded(tmp_path):
    """Guards against changed messages, exit codes and refusals."""

    async def scenario(cluster):
        transcript = Transcript(cluster, tmp_path)
        await run_commands(cluster, transcript)
        await run_requests(transcript)
        await run_without_platform(cluster, transcript)
        compare(transcript.text())

    clusters.run(tmp_path, scenario, deployment=DEPLOYMENT, gateways=3)
