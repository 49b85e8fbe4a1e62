"""Tests of the operators' commands and their exit codes."""

import io
import json
import socket
import sys

import curio
import pytest

from banyandale import _main as program
from banyandale import _operator_commands as operator_commands
import banyandale_config as config
import banyandale_platform as platform
from banyandale_platform import testing

RAW = {
    "zones": [{"name": "za"}, {"name": "zb"}],
    "services": [
        {
            "name": "ledger",
            "servers": [
                {"address": "10.0.0.1:80", "zone": "za"},
                {"address": "10.0.0.2:80", "zone": "zb"},
            ],
        }
    ],
}


class Store(testing.MemoryStore):
    """A store that stays open, so that all commands of a test share it."""

    async def close(self):
        pass


@pytest.fixture
def store(monkeypatch):
    shared = Store()
    monkeypatch.setattr(
        platform, "HttpObjectStore", lambda address, source: shared
    )
    monkeypatch.setenv("BANYANDALE_PLATFORM", "127.0.0.1:1")
    monkeypatch.setenv("BANYANDALE_AUTHOR", "op")
    monkeypatch.setattr(operator_commands, "ROLLOUT_SECONDS", 0.05)
    return shared


@pytest.fixture
def run(monkeypatch, capsys):
    def run_program(*arguments, stdin="", terminal=False):
        monkeypatch.setattr(sys, "argv", ["banyandale", *arguments])
        stream = io.TextIOWrapper(io.BytesIO(stdin.encode()))
        stream.isatty = lambda: terminal
        monkeypatch.setattr(sys, "stdin", stream)
        with pytest.raises(SystemExit) as caught:
            program.main()
        return int(caught.value.code), capsys.readouterr()

    return run_program


def publish(store, base, raw=RAW):
    publisher = config.Publisher(store=store)
    curio.run(
        lambda: publisher.apply(
            config.check(raw)[0],
            base_generation=base,
            author="other",
            message="<info>m",
        )
    )


def read(store):
    return curio.run(config.Publisher(store=store).read)


def test_shown_document_can_be_changed_and_applied(run, store):
    """Guards against publishing a document made from an old generation."""
    code, _ = run("config", "apply", "-", "--base=0", stdin=json.dumps(RAW))
    assert code == 0
    code, shown = run("config", "show")
    assert code == 0
    assert shown.out.startswith("# generation 1\n")
    changed = shown.out.replace("priority: 5", "priority: 1")
    code, text = run("config", "apply", "-", "--dry-run", stdin=changed)
    assert (code, read(store).generation) == (0, 1)
    assert "~ services/ledger/priority: 5 -> 1" in text.out
    code, text = run("config", "apply", "-", "-m", "why", stdin=changed)
    assert (code, read(store).generation) == (0, 2)
    assert (read(store).author, read(store).message) == ("op", "why")
    code, text = run("config", "apply", "-", "--dry-run", stdin=shown.out)
    assert code == 4
    code, text = run("config", "apply", "-", stdin=shown.out)
    assert code == 4
    assert "~ services/ledger/priority: 5 -> 1" in text.err
    code, text = run("config", "show", "--generation=1")
    assert text.out == shown.out
    assert read(store).generation == 2


@pytest.mark.parametrize(("answer", "code"), [("no", 1), ("yes", 0)])
def test_operator_is_asked_at_a_terminal(run, store, tmp_path, answer, code):
    """Guards against publishing a change without confirmation."""
    path = tmp_path / "document.json"
    path.write_text(json.dumps(RAW))
    arguments = ("config", "apply", str(path), "--base=0")
    found, text = run(*arguments, stdin=answer, terminal=True)
    assert found == code
    assert "+ services/ledger" in text.out
    assert (read(store) is None) == (answer == "no")


def test_documents_are_checked_without_the_platform(run, monkeypatch):
    """Guards against `config check` requiring access to the platform."""
    monkeypatch.delenv("BANYANDALE_PLATFORM", raising=False)
    code, text = run("config", "check", "-", stdin=json.dumps(RAW))
    assert (code, text.out) == (0, "the document is valid\n")
    wrong = json.dumps({**RAW, "zones": [{"name": "za"}], "color": 1})
    code, text = run("config", "check", "-", stdin=wrong)
    assert code == 3
    assert "services[0].servers[1].zone" in text.err
    assert "color: unknown key" in text.err
    code, _ = run("config", "check", "-", stdin="{")
    assert code == 3
    code, _ = run("config", "check", "/nonexistent")
    assert code == 1
    code, text = run("config", "schema")
    assert (code, json.loads(text.out)["type"]) == (0, "object")


def test_zone_is_taken_out_of_service_and_returned(run, store):
    """Guards against a zone change that overwrites a concurrent change.

    Another operator publishes between the read and the write of `zone out`.
    """
    publish(store, 0)
    get = store.get
    reads = []

    async def publish_before_second_read(**arguments):
        if arguments["kind"] == "config":
            reads.append(arguments)
        if len(reads) == 2:
            store.get = get
            await config.Publisher(store=store).apply(
                config.check({**RAW, "services": []})[0],
                base_generation=1,
                author="other",
                message="m",
            )
        return await get(**arguments)

    store.get = publish_before_second_read
    code, text = run("zone", "out", "zb")
    assert code == 0
    assert "came first; trying again" in text.err
    published = read(store)
    assert published.generation == 3
    assert published.message == "zone out zb"
    assert [zone.state for zone in published.document.zones] == ["in", "out"]
    assert published.document.services == ()
    code, _ = run("zone", "in", "zb")
    assert (code, read(store).document.zones[1].state) == (0, "in")
    code, text = run("zone", "out", "zc")
    assert code == 1
    assert "zones: za, zb" in text.err


def test_gateways_that_are_behind_are_named(run, store):
    """Guards against exit code 0 while a gateway has an old generation."""
    publish(store, 0)
    curio.run(lambda: store.create(kind="lease", name="g1", value=b"{}"))
    code, text = run("zone", "out", "zb")
    assert code == 1
    assert "g1" in text.err
    code, text = run("status")
    assert code == 0
    assert "gateway\tg1\tnot reported\tlive" in text.out
    assert "zone\tzb\tout" in text.out


def test_history_shows_texts_unchanged(run, store):
    """Guards against a change's message being interpreted as markup."""
    publish(store, 0)
    code, text = run("config", "history")
    assert code == 0
    assert text.out.startswith("1\t")
    assert text.out.endswith("\tother\t<info>m\n")


def test_outage_has_its_own_exit_code(run, store):
    """Guards against the same exit code for an outage and a rejection."""
    publish(store, 0)
    store.faults.down = True
    for arguments in (
        ("config", "show"),
        ("config", "history"),
        ("status",),
        ("zone", "out", "za"),
    ):
        code, _ = run(*arguments)
        assert code == 5


@pytest.mark.parametrize(
    "arguments",
    [
        ("nonsense",),
        ("zone", "out"),
        ("zone", "out", "za", "--nonsense"),
        ("config", "apply", "-"),
        ("config", "show", "--generation=x"),
        ("status", "--platform=localhost"),
        ("gateway", "--id=g1"),
        ("console",),
    ],
)
def test_wrong_command_line_has_its_own_exit_code(run, store, arguments):
    """Guards against the same exit code for a usage error and a failure."""
    code, text = run(*arguments, stdin=json.dumps(RAW))
    assert code == 2
    assert "error: " in text.err


def test_address_in_use_is_a_failure(run, store):
    """Guards against a traceback when the console cannot listen."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        code, text = run(
            "console",
            f"--console-listen=127.0.0.1:{taken.getsockname()[1]}",
            "--console-token=0123456789abcdef",
        )
    assert code == 1
    assert "in use" in text.err


def test_missing_settings_are_reported_together(run, monkeypatch):
    """Guards against reporting only the first missing setting."""
    monkeypatch.delenv("BANYANDALE_PLATFORM", raising=False)
    code, text = run("gateway", "--id=g1")
    assert code == 2
    assert len(text.err.splitlines()) == 5
