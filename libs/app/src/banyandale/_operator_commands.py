"""The commands `config`, `zone` and `status`."""

from collections.abc import Awaitable
import datetime
import time
from typing import Any

from cleo.helpers import argument
from cleo.helpers import option
import curio

from banyandale import _commands as commands
from banyandale import _documents as documents
from banyandale import _exits as exits
from banyandale import _settings as settings
import banyandale_config as config
import banyandale_core as core
import banyandale_platform as platform

# Every gateway has an accepted configuration in force within this time.
ROLLOUT_SECONDS = 7.0
# How often `zone` retries after another change was accepted first.
MAX_CONFLICT_RETRIES = 5
NO_CONFIGURATION = "the platform has no configuration yet"


class NotFoundError(core.CodedError):
    """The named object is not in the configuration."""

    code = "not_found"


class ArgumentError(settings.SettingsError):
    """The value of an argument is invalid."""

    def __init__(self, text: str) -> None:
        super().__init__((text,))


def _parse_generation(name: str, text: str) -> int:
    if not (text.isascii() and text.isdigit()):
        raise ArgumentError(f"--{name}: {text!r} is not a generation")
    return int(text)


class OperatorCommand(commands.BaseCommand):
    """A command that uses the configuration stored on the platform."""

    settings_model = settings.OperatorSettings

    def run_with_settings(self, loaded: settings.OperatorSettings) -> int:
        """Runs the command against the platform."""
        return curio.run(self._run_with_store, loaded)

    async def _run_with_store(self, loaded: settings.OperatorSettings) -> int:
        self.settings = loaded
        self.store = platform.HttpObjectStore(
            address=loaded.platform, source=loaded.source
        )
        self.publisher = config.Publisher(store=self.store)
        try:
            return await self.run_with_platform()
        finally:
            await self.store.close()

    def run_with_platform(self) -> Awaitable[int]:
        """Runs the command and returns its exit code."""
        raise NotImplementedError

    def show_problems(self, problems: tuple[config.Problem, ...]) -> None:
        """Writes problems to the standard error."""
        for problem in problems:
            self.report(str(problem))

    async def publish(
        self, document: config.Document, *, base: int, message: str
    ) -> int:
        """Publishes a document and waits until it is in force."""
        generation = await self.publisher.apply(
            document,
            base_generation=base,
            author=self.settings.author,
            message=message,
        )
        if generation == base:
            self.show(f"nothing differs from generation {base}")
        else:
            self.show(f"generation {generation} is accepted")
        return await self.wait_in_force(generation)

    async def wait_in_force(self, generation: int) -> int:
        """Waits until all gateways have a generation in force.

        Reports the gateways that do not within `ROLLOUT_SECONDS`.
        """
        rollout = await self.publisher.wait_in_force(
            generation, deadline=time.monotonic() + ROLLOUT_SECONDS
        )
        self.show(f"in force: {', '.join(rollout.in_force) or 'no gateway'}")
        if rollout.is_complete:
            return exits.ExitCode.OK
        self.report(
            f"error: not in force after {ROLLOUT_SECONDS:.0f} s:"
            f" {', '.join(rollout.behind)}"
        )
        return exits.ExitCode.FAILURE


class ConfigCheckCommand(commands.BaseCommand):
    """Checks a document without the platform."""

    name = "config check"
    description = "List all problems of a document"
    arguments = [argument("file", "JSON or YAML document; - reads stdin")]

    def run_with_settings(self, loaded: Any) -> int:
        """Lists the problems."""
        del loaded
        text = documents.read_file(self.argument("file"))
        document, problems = config.check(config.read_text(text))
        for problem in problems:
            self.report(str(problem))
        if document is None:
            return exits.ExitCode.INVALID_DOCUMENT
        self.show("the document is valid")
        return exits.ExitCode.OK


class ConfigSchemaCommand(commands.BaseCommand):
    """Writes the schema of the document."""

    name = "config schema"
    description = "Write the JSON schema of the document"

    def run_with_settings(self, loaded: Any) -> int:
        """Writes the schema."""
        del loaded
        self.show(config.dump_schema().rstrip())
        return exits.ExitCode.OK


class ConfigApplyCommand(OperatorCommand):
    """Publishes a document."""

    name = "config apply"
    description = "Show what a document changes and put it in force"
    help = (
        "The document must come from `config show`, whose first line names"
        " the generation, or --base must name it. A document that was made"
        " from an older generation than the newest is refused (exit code 4)."
    )
    arguments = [argument("file", "JSON or YAML document; - reads stdin")]
    options = [
        option(
            "base",
            description="generation it was made from; 0 for none",
            flag=False,
        ),
        option("message", "m", description="reason for the change", flag=False),
        option("dry-run", description="only show what would change"),
        option("yes", "y", description="do not ask"),
        *commands.build_options(settings.OperatorSettings),
    ]

    async def run_with_platform(self) -> int:
        """Shows the changes and publishes them after confirmation."""
        text = documents.read_file(self.argument("file"))
        document, problems = config.check(config.read_text(text))
        if document is None:
            raise config.InvalidDocumentError(problems)
        self.show_problems(problems)
        base = self._find_base(text)
        published = await self.publisher.check_base(
            document, base_generation=base
        )
        changes = config.compare(published and published.document, document)
        for change in changes:
            self.show(str(change))
        if self.option("dry-run"):
            return exits.ExitCode.OK
        if changes and not self._is_confirmed():
            self.report("nothing was changed")
            return exits.ExitCode.FAILURE
        return await self.publish(
            document, base=base, message=self.option("message") or ""
        )

    def _find_base(self, text: bytes) -> int:
        if self.option("base") is not None:
            return _parse_generation("base", self.option("base"))
        generation = documents.find_generation(text)
        if generation is None:
            raise ArgumentError(
                "--base: is required, since the document does not begin with"
                " the line of `config show` that names its generation"
            )
        return generation

    def _is_confirmed(self) -> bool:
        if self.option("yes") or not self.io.is_interactive():
            return True
        return self.confirm("Put this in force?", default=False)


class ConfigShowCommand(OperatorCommand):
    """Writes the published document."""

    name = "config show"
    description = "Write the newest or an older document"
    options = [
        option("generation", description="default: the newest", flag=False),
        option("json", description="write JSON, without the generation"),
        *commands.build_options(settings.OperatorSettings),
    ]

    async def run_with_platform(self) -> int:
        """Writes the document."""
        published = await self._read_published()
        if published is None:
            raise NotFoundError(NO_CONFIGURATION)
        if self.option("json"):
            text = config.dump_json(published.document)
        else:
            text = documents.format_header(published.generation)
            text += config.dump_yaml(published.document)
        self.show(text.rstrip())
        return exits.ExitCode.OK

    async def _read_published(self) -> config.Published | None:
        text = self.option("generation")
        if text is None:
            return await self.publisher.read()
        return await self.publisher.read_generation(
            _parse_generation("generation", text)
        )


class ConfigHistoryCommand(OperatorCommand):
    """Lists the published generations."""

    name = "config history"
    description = "List the last generations, the newest first"
    options = commands.build_options(settings.OperatorSettings)

    async def run_with_platform(self) -> int:
        """Writes one line per generation."""
        for entry in await self.publisher.history():
            accepted = datetime.datetime.fromtimestamp(
                entry.accepted_unix_ms / core.MILLISECONDS_PER_SECOND,
                datetime.UTC,
            )
            self.show(
                f"{entry.generation}\t{accepted:%Y-%m-%dT%H:%M:%SZ}"
                f"\t{entry.author}\t{entry.message}"
            )
        return exits.ExitCode.OK


class ZoneCommand(OperatorCommand):
    """Takes a zone out of service or returns it to service."""

    state = ""
    arguments = [argument("zone", "name of the availability zone")]
    options = [
        option("message", "m", description="reason for the change", flag=False),
        *commands.build_options(settings.OperatorSettings),
    ]

    async def run_with_platform(self) -> int:
        """Publishes the newest document with the state of the zone changed.

        The change does not depend on the rest of the document, so it is
        retried when another operator's change is accepted first.
        """
        for _ in range(MAX_CONFLICT_RETRIES):
            try:
                return await self._publish_state()
            except config.ConfigConflictError as error:
                self.report(
                    f"generation {error.generation} by {error.author} came"
                    " first; trying again"
                )
        return await self._publish_state()

    async def _publish_state(self) -> int:
        name = self.argument("zone")
        published = await self.publisher.read()
        if published is None:
            raise NotFoundError(NO_CONFIGURATION)
        raw = published.document.model_dump(mode="json")
        zones = {zone["name"]: zone for zone in raw["zones"]}
        if name not in zones:
            raise NotFoundError(
                f"there is no zone {name!r}; zones: {', '.join(zones)}"
            )
        zones[name]["state"] = self.state
        document, problems = config.check(raw)
        if document is None:
            raise config.InvalidDocumentError(problems)
        self.show_problems(problems)
        return await self.publish(
            document,
            base=published.generation,
            message=self.option("message") or f"{self.name} {name}",
        )


class ZoneOutCommand(ZoneCommand):
    """Takes a zone out of service."""

    name = "zone out"
    description = "Take an availability zone out of service"
    state = "out"


class ZoneInCommand(ZoneCommand):
    """Returns a zone to service."""

    name = "zone in"
    description = "Return an availability zone to service"
    state = "in"


class StatusCommand(OperatorCommand):
    """Shows which generation each gateway has in force."""

    name = "status"
    description = "Show the newest generation and that of each gateway"
    options = commands.build_options(settings.OperatorSettings)

    async def run_with_platform(self) -> int:
        """Writes one line per zone and gateway."""
        published = await self.publisher.read()
        if published is None:
            raise NotFoundError(NO_CONFIGURATION)
        self.show(
            f"generation {published.generation} by {published.author}:"
            f" {published.message}"
        )
        for zone in published.document.zones:
            self.show(f"zone\t{zone.name}\t{zone.state}")
        for status in await config.read_statuses(self.store):
            generation = status.generation or "not reported"
            lease = "live" if status.live else "no lease"
            self.show(f"gateway\t{status.gateway}\t{generation}\t{lease}")
        return exits.ExitCode.OK


COMMANDS = (
    ConfigCheckCommand,
    ConfigApplyCommand,
    ConfigShowCommand,
    ConfigHistoryCommand,
    ConfigSchemaCommand,
    ZoneOutCommand,
    ZoneInCommand,
    StatusCommand,
)
