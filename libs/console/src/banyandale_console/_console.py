"""Handles the requests of the console.

The console keeps no state between requests. Each form carries the generation
it was made from, and a change is published only while that generation is
still the newest.
"""

from collections.abc import Mapping
import dataclasses
import time
from typing import Any
from urllib import parse

import curio

import banyandale_config as config
from banyandale_console import _edits as edits
from banyandale_console import _forms as forms
from banyandale_console import _pages as pages
from banyandale_console import _sessions as sessions
import banyandale_core as core
import banyandale_http as http
import banyandale_platform as platform

MAX_FORM_FIELDS = 50_000
# Every gateway has an accepted configuration in force within this time.
ROLLOUT_SECONDS = 7.0
# Delay of the answer to a wrong token; slows down guessing.
WRONG_TOKEN_DELAY_SECONDS = 1.0
EMPTY_DOCUMENT = {"zones": [], "services": []}


class FormError(core.CodedError):
    """The request is not a valid submission of a form of this console."""

    code = "invalid_form"


class StaleFormError(core.CodedError):
    """The form was made from an older generation.

    Attributes:
        base: Generation that the form was made from.
        published: The newest generation.
    """

    code = "stale_form"

    def __init__(self, base: int, published: config.Published | None) -> None:
        super().__init__(f"the form was made from generation {base}")
        self.base = base
        self.published = published


# Status and title of the page for each error class; the first match is used.
ERROR_PAGES = (
    (FormError, 400, "The form is not valid"),
    (edits.EditError, 404, "Not found"),
    (StaleFormError, 409, "Another change came first"),
    (config.GenerationNotFoundError, 404, "Not found"),
    (config.InvalidDocumentError, 422, "The configuration is not valid"),
    (
        config.ConfigOutcomeUnknownError,
        503,
        "Look at the history before you try again",
    ),
    (core.CodedError, 503, "The platform does not answer as expected"),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _OperatorRequest:
    """One request of a signed-in operator.

    Attributes:
        fields: Fields of the query or of the form.
        session: The operator's session.
        csrf_token: Hidden field `key` of the forms of this session.
    """

    fields: Mapping[str, str]
    session: str
    csrf_token: str

    @property
    def name(self) -> str:
        return self.fields.get("name", "")

    @property
    def generation(self) -> int:
        return _parse_number(self.fields.get("generation", ""))


def _parse_number(text: str) -> int:
    if not (text.isascii() and text.isdigit()):
        raise FormError(f"{text!r} is not a number")
    return int(text)


def _parse_fields(text: bytes) -> dict[str, str]:
    try:
        pairs = parse.parse_qsl(
            text.decode(),
            keep_blank_values=True,
            max_num_fields=MAX_FORM_FIELDS,
        )
    except ValueError as error:
        raise FormError(str(error)) from error
    return dict(pairs)


def _dump_document(published: config.Published | None) -> dict[str, Any]:
    if published is None:
        return EMPTY_DOCUMENT
    return published.document.model_dump(mode="json")


def _get_generation(published: config.Published | None) -> int:
    return 0 if published is None else published.generation


class Console:
    """Answers the requests of operators.

    Args:
        publisher: Reads and publishes documents.
        store: Store in which the gateways report their status.
        token: Token that operators sign in with.
        metrics: Receives the counters.
        clock: Clock for the expiry of sessions.
    """

    def __init__(
        self,
        *,
        publisher: config.Publisher,
        store: platform.ObjectStore,
        token: str,
        metrics: core.Metrics | None = None,
        clock: core.Clock | None = None,
    ) -> None:
        self._publisher = publisher
        self._store = store
        self._metrics = metrics or core.MemoryMetrics()
        self._sessions = sessions.Sessions(
            token=token, clock=clock or core.SystemClock()
        )
        self._pages = pages.PageRenderer()
        self._views = {
            "/": self._show_overview,
            "/zones": self._show_zones,
            "/service": self._show_service,
            "/servers": self._show_servers,
            "/history": self._show_history,
            "/status": self._show_status,
        }
        self._actions = {
            "/zones": self._submit_zones,
            "/service": self._submit_service,
            "/servers": self._submit_servers,
            "/delete": self._submit_delete,
            "/restore": self._submit_restore,
            "/apply": self._submit_apply,
        }

    async def handle(self, request: http.Request) -> http.Response:
        """Answers one request."""
        try:
            return await self._route(request)
        except StaleFormError as error:
            return await self._render_conflict(error)
        except (
            FormError,
            edits.EditError,
            config.ConfigError,
            platform.PlatformError,
        ) as error:
            return self._render_error(error)

    async def _route(self, request: http.Request) -> http.Response:
        target, _, query = request.target.partition(b"?")
        path = target.decode("latin-1")
        if path == "/style.css":
            return self._pages.render("style.css")
        if path == "/login":
            return await self._sign_in(request)
        session = self._sessions.find(request.header(b"cookie"))
        if session is None:
            return pages.redirect("/login")
        return await self._dispatch(request, path, query, session)

    async def _dispatch(
        self, request: http.Request, path: str, query: bytes, session: str
    ) -> http.Response:
        posted = request.method == b"POST"
        handler = (self._actions if posted else self._views).get(path)
        if handler is None:
            return self._pages.render(
                "error.html",
                status=404,
                session=session,
                title="Not found",
                text=f"There is no page {path}.",
            )
        operator_request = _OperatorRequest(
            fields=_parse_fields(request.body if posted else query),
            session=session,
            csrf_token=self._sessions.csrf_token(session),
        )
        if posted and not self._sessions.is_csrf_token(
            session, operator_request.fields.get("key", "")
        ):
            raise FormError("the form is from another session")
        return await handler(operator_request)

    def _render_error(self, error: core.CodedError) -> http.Response:
        self._metrics.incr(f"console_{error.code}")
        status, title = next(
            (status, title)
            for error_type, status, title in ERROR_PAGES
            if isinstance(error, error_type)
        )
        return self._pages.render(
            "error.html",
            status=status,
            session=True,
            title=title,
            text=str(error),
        )

    async def _sign_in(self, request: http.Request) -> http.Response:
        if request.method != b"POST":
            return self._pages.render("login.html", session=None, wrong=False)
        texts = _parse_fields(request.body)
        if not self._sessions.is_token(texts.get("token", "")):
            self._metrics.incr("console_wrong_token")
            await curio.sleep(WRONG_TOKEN_DELAY_SECONDS)
            return self._pages.render(
                "login.html", status=403, session=None, wrong=True
            )
        cookie = self._sessions.start().encode()
        return pages.redirect("/", (b"set-cookie", cookie))

    async def _show_overview(self, request: _OperatorRequest) -> http.Response:
        return self._pages.render(
            "overview.html",
            session=request.session,
            published=await self._publisher.read(),
        )

    async def _show_zones(self, request: _OperatorRequest) -> http.Response:
        published = await self._publisher.read()
        zones = () if published is None else published.document.zones
        texts, submitted = forms.format_rows(config.ZoneModel, zones)
        return self._render_rows(
            request,
            edits.ZonesEdit(value=[]),
            generation=_get_generation(published),
            rows=forms.build_rows(config.ZoneModel, texts, submitted=submitted),
        )

    async def _show_servers(self, request: _OperatorRequest) -> http.Response:
        published = await self._publisher.read()
        service = self._find_service(published, request.name)
        texts, submitted = forms.format_rows(
            config.ServerModel, service.servers
        )
        return self._render_rows(
            request,
            edits.ServersEdit(name=request.name, value=[]),
            generation=_get_generation(published),
            rows=forms.build_rows(
                config.ServerModel, texts, submitted=submitted
            ),
        )

    def _find_service(
        self, published: config.Published | None, name: str
    ) -> config.ServiceModel:
        index = edits.find_service_index(_dump_document(published), name)
        return published.document.services[index]

    async def _show_service(self, request: _OperatorRequest) -> http.Response:
        published = await self._publisher.read()
        if request.name:
            service = self._find_service(published, request.name)
            texts = forms.format_entry(config.ServiceModel, service)
        else:
            texts = forms.format_default(config.ServiceModel)
        return self._render_service(
            request,
            name=request.name,
            generation=_get_generation(published),
            form=forms.build_fields(config.ServiceModel, texts),
        )

    async def _show_history(self, request: _OperatorRequest) -> http.Response:
        return self._pages.render(
            "history.html",
            session=request.session,
            key=request.csrf_token,
            entries=await self._publisher.history(),
        )

    async def _show_status(self, request: _OperatorRequest) -> http.Response:
        return self._pages.render(
            "status.html",
            session=request.session,
            statuses=await config.read_statuses(self._store),
        )

    def _render_rows(
        self,
        request: _OperatorRequest,
        edit: edits.ZonesEdit | edits.ServersEdit,
        *,
        generation: int,
        rows: tuple[forms.Row, ...],
        problems: tuple[config.Problem, ...] = (),
        status: int = 200,
    ) -> http.Response:
        name = getattr(edit, "name", "")
        return self._pages.render(
            "rows.html",
            status=status,
            session=request.session,
            key=request.csrf_token,
            title=f"Backend servers of {name}" if name else "Zones",
            action=f"/{edit.section}",
            name=name,
            generation=generation,
            rows=rows,
            problems=problems,
        )

    def _render_service(
        self,
        request: _OperatorRequest,
        *,
        name: str,
        generation: int,
        form: tuple[forms.Field, ...],
        problems: tuple[config.Problem, ...] = (),
        status: int = 200,
    ) -> http.Response:
        return self._pages.render(
            "service.html",
            status=status,
            session=request.session,
            key=request.csrf_token,
            title=f"Service {name}" if name else "New service",
            name=name,
            generation=generation,
            form=form,
            problems=problems,
        )

    async def _submit_zones(self, request: _OperatorRequest) -> http.Response:
        submitted = forms.parse_rows(config.ZoneModel, request.fields)
        edit = edits.ZonesEdit(value=submitted.values)
        return await self._submit_rows(
            request, edit, config.ZoneModel, submitted
        )

    async def _submit_servers(self, request: _OperatorRequest) -> http.Response:
        submitted = forms.parse_rows(config.ServerModel, request.fields)
        edit = edits.ServersEdit(name=request.name, value=submitted.values)
        return await self._submit_rows(
            request, edit, config.ServerModel, submitted
        )

    async def _submit_rows(
        self,
        request: _OperatorRequest,
        edit: edits.ZonesEdit | edits.ServersEdit,
        model: type,
        submitted: forms.SubmittedRows,
    ) -> http.Response:
        published = await self._read_base(request)
        document, raw, problems = await self._check_edit(published, edit)
        if document is not None:
            return self._render_preview(
                request, edit, published, document, problems
            )
        path = edits.find_section_path(raw, edit)
        rows = forms.build_rows(
            model,
            request.fields,
            submitted=submitted,
            path=path,
            problems=problems,
        )
        return self._render_rows(
            request,
            edit,
            generation=request.generation,
            rows=rows,
            problems=_find_unshown_problems(
                problems, [field for row in rows for field in row.fields]
            ),
            status=422,
        )

    async def _submit_service(self, request: _OperatorRequest) -> http.Response:
        published = await self._read_base(request)
        edit = edits.ServiceEdit(
            name=request.fields.get("service", ""),
            value=forms.parse_entry(config.ServiceModel, request.fields),
        )
        document, raw, problems = await self._check_edit(published, edit)
        if document is not None:
            return self._render_preview(
                request, edit, published, document, problems
            )
        form = forms.build_fields(
            config.ServiceModel,
            request.fields,
            path=edits.find_section_path(raw, edit),
            problems=problems,
        )
        return self._render_service(
            request,
            name=edit.name,
            generation=request.generation,
            form=form,
            problems=_find_unshown_problems(problems, form),
            status=422,
        )

    async def _submit_delete(self, request: _OperatorRequest) -> http.Response:
        return await self._preview_edit(
            request, edits.DeleteEdit(name=request.name)
        )

    async def _submit_restore(self, request: _OperatorRequest) -> http.Response:
        number = _parse_number(request.fields.get("restore", ""))
        return await self._preview_edit(
            request, edits.RestoreEdit(generation=number)
        )

    async def _preview_edit(
        self, request: _OperatorRequest, edit: edits.Edit
    ) -> http.Response:
        published = await self._read_base(request)
        document, _, problems = await self._check_edit(published, edit)
        if document is None:
            return self._pages.render(
                "preview.html",
                status=422,
                session=request.session,
                key=request.csrf_token,
                generation=request.generation,
                changes=(),
                problems=problems,
            )
        return self._render_preview(
            request, edit, published, document, problems
        )

    async def _read_base(
        self, request: _OperatorRequest
    ) -> config.Published | None:
        """Returns the newest document if the form was made from it.

        Raises:
            StaleFormError: Another generation was accepted since.
        """
        published = await self._publisher.read()
        if _get_generation(published) != request.generation:
            raise StaleFormError(request.generation, published)
        return published

    async def _check_edit(
        self, published: config.Published | None, edit: edits.Edit
    ) -> tuple[
        config.Document | None, dict[str, Any], tuple[config.Problem, ...]
    ]:
        if isinstance(edit, edits.RestoreEdit):
            restored = await self._publisher.read_generation(edit.generation)
            raw = _dump_document(restored)
        else:
            raw = edits.apply_edit(_dump_document(published), edit)
        document, problems = config.check(raw)
        return document, raw, problems

    def _render_preview(
        self,
        request: _OperatorRequest,
        edit: edits.Edit,
        published: config.Published | None,
        document: config.Document,
        problems: tuple[config.Problem, ...],
    ) -> http.Response:
        return self._pages.render(
            "preview.html",
            session=request.session,
            key=request.csrf_token,
            generation=request.generation,
            edit=edits.encode(edit),
            changes=config.compare(published and published.document, document),
            problems=problems,
        )

    async def _submit_apply(self, request: _OperatorRequest) -> http.Response:
        edit = edits.decode(request.fields.get("edit", ""))
        published = await self._read_base(request)
        document, _, problems = await self._check_edit(published, edit)
        if document is None:
            raise config.InvalidDocumentError(problems)
        try:
            generation = await self._publisher.apply(
                document,
                base_generation=request.generation,
                author=request.fields.get("author", ""),
                message=request.fields.get("message", ""),
            )
        except config.ConfigConflictError as error:
            raise StaleFormError(
                request.generation, await self._publisher.read()
            ) from error
        rollout = await self._publisher.wait_in_force(
            generation, deadline=time.monotonic() + ROLLOUT_SECONDS
        )
        return self._pages.render(
            "accepted.html",
            session=request.session,
            generation=generation,
            rollout=rollout,
        )

    async def _render_conflict(self, error: StaleFormError) -> http.Response:
        self._metrics.incr(f"console_{error.code}")
        if error.published is None:
            return self._render_error(error)
        base = None
        try:
            if error.base:
                base = await self._publisher.read_generation(error.base)
        except (config.ConfigError, platform.PlatformError):
            pass
        accepted = ()
        if base is not None or error.base == 0:
            accepted = config.compare(
                base and base.document, error.published.document
            )
        return self._pages.render(
            "conflict.html",
            status=409,
            session=True,
            base=error.base,
            published=error.published,
            accepted=accepted,
        )


def _find_unshown_problems(
    problems: tuple[config.Problem, ...], fields: Any
) -> tuple[config.Problem, ...]:
    """Returns the problems that are not shown beside a field."""
    shown = {problem for field in fields for problem in field.problems}
    return tuple(problem for problem in problems if problem not in shown)
