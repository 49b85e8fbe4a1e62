"""Stateless sessions, signed with a key derived from the console's token.

The session cookie is `expiry.mac`. Forms carry a second MAC over the session
as a CSRF token, so that another site cannot submit them.
"""

import hashlib
import hmac
import http.cookies

import banyandale_core as core

SESSION_SECONDS = 8 * 3600
COOKIE_NAME = "banyandale_session"


class Sessions:
    """Checks the operator's token and issues sessions."""

    def __init__(self, *, token: str, clock: core.Clock) -> None:
        self._key = hashlib.sha256(token.encode()).digest()
        self._clock = clock

    def is_token(self, token: str) -> bool:
        """Whether `token` is the console's token."""
        key = hashlib.sha256(token.encode()).digest()
        return hmac.compare_digest(key, self._key)

    def start(self) -> str:
        """Returns the value of the `Set-Cookie` header of a new session."""
        expiry = str(int(self._clock.unix()) + SESSION_SECONDS)
        session = f"{expiry}.{self._sign('session', expiry)}"
        return (
            f"{COOKIE_NAME}={session}; Path=/; Max-Age={SESSION_SECONDS};"
            " HttpOnly; SameSite=Strict"
        )

    def find(self, cookie_header: bytes | None) -> str | None:
        """Returns the valid session of a `Cookie` header, or None."""
        cookies: http.cookies.SimpleCookie = http.cookies.SimpleCookie()
        try:
            cookies.load((cookie_header or b"").decode("ascii"))
        except (http.cookies.CookieError, UnicodeDecodeError):
            return None
        if COOKIE_NAME not in cookies:
            return None
        session = cookies[COOKIE_NAME].value
        expiry, _, mac = session.partition(".")
        expected = self._sign("session", expiry)
        if not hmac.compare_digest(mac.encode(), expected.encode()):
            return None
        return session if int(expiry) > self._clock.unix() else None

    def csrf_token(self, session: str) -> str:
        """Returns the CSRF token of a session, the hidden form field `key`."""
        return self._sign("form", session)

    def is_csrf_token(self, session: str, token: str) -> bool:
        """Whether `token` is the CSRF token of this session."""
        expected = self.csrf_token(session)
        return hmac.compare_digest(token.encode(), expected.encode())

    def _sign(self, purpose: str, text: str) -> str:
        message = f"{purpose}:{text}".encode()
        return hmac.new(self._key, message, hashlib.sha256).hexdigest()
