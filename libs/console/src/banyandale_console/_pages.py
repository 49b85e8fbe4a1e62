"""Renders the HTML pages and redirects of the console."""

from typing import Any

import jinja2

import banyandale_config as config
import banyandale_http as http

# Lets browsers load only the console's own style sheet and submit forms only
# to the console.
SECURITY_HEADERS: http.Headers = (
    (
        b"content-security-policy",
        b"default-src 'none'; style-src 'self'; form-action 'self';"
        b" frame-ancestors 'none'; base-uri 'none'",
    ),
    (b"x-content-type-options", b"nosniff"),
    (b"referrer-policy", b"no-referrer"),
    (b"cache-control", b"no-store"),
)
HTML_CONTENT_TYPE = (b"content-type", b"text/html; charset=utf-8")
CSS_CONTENT_TYPE = (b"content-type", b"text/css; charset=utf-8")


class PageRenderer:
    """Renders the templates of the console."""

    def __init__(self) -> None:
        self._environment = jinja2.Environment(
            loader=jinja2.PackageLoader("banyandale_console"),
            autoescape=True,
            undefined=jinja2.StrictUndefined,
            trim_blocks=True,
            lstrip_blocks=True,
        )
        self._environment.filters["path"] = config.format_path

    def render(
        self, template: str, *, status: int = 200, **values: Any
    ) -> http.Response:
        """Returns a page.

        Args:
            template: File name.
            status: HTTP status.
            **values: Variables of the template.
        """
        text = self._environment.get_template(template).render(**values)
        content_type = (
            CSS_CONTENT_TYPE if template.endswith(".css") else HTML_CONTENT_TYPE
        )
        return http.Response(
            status=status,
            headers=(content_type, *SECURITY_HEADERS),
            body=text.encode(),
        )


def redirect(target: str, *headers: tuple[bytes, bytes]) -> http.Response:
    """Returns a response that sends the browser to another page."""
    return http.Response(
        status=303,
        headers=(
            (b"location", target.encode()),
            *SECURITY_HEADERS,
            *headers,
        ),
    )
