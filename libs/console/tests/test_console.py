"""Tests that the console's forms publish exactly the changes shown."""

import html
import re
import time
from urllib import parse

import curio
import pytest

import banyandale_config as config
import banyandale_console as console
from banyandale_console import _console
import banyandale_http as http
from banyandale_platform import testing

TOKEN = "0123456789abcdef"
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


class Clock:
    """A clock that the test sets."""

    now = 1000.0

    def unix(self):
        return self.now

    def monotonic(self):
        return self.now


class Browser:
    """Keeps a cookie and submits forms like a browser."""

    def __init__(self):
        self.store = testing.MemoryStore()
        self.publisher = config.Publisher(store=self.store)
        self.clock = Clock()
        self.console = console.Console(
            publisher=self.publisher,
            store=self.store,
            token=TOKEN,
            clock=self.clock,
        )
        self.cookie = b""
        self.response = None

    async def send(self, method, target, body=b""):
        self.response = await self.console.handle(
            http.Request(
                method=method,
                target=target.encode(),
                headers=((b"cookie", self.cookie),),
                body=body,
            )
        )
        cookie = self.response.header(b"set-cookie")
        if cookie:
            self.cookie = cookie.partition(b";")[0]
        return self.response.body.decode()

    async def sign_in(self, token=TOKEN):
        await self.send(b"POST", "/login", f"token={token}".encode())

    async def open(self, target):
        page = await self.send(b"GET", target)
        assert self.response.status == 200, page
        return page

    async def submit(self, page, action, **texts):
        """Submits the form of `page` for `action` with some fields changed."""
        form = re.search(
            f'<form method="post" action="{action}">(.*?)</form>', page, re.S
        )[1]
        fields = {}
        for tag in re.findall(r"<input[^>]*>", form):
            if 'type="checkbox"' not in tag:
                value = re.search(r'value="([^"]*)"', tag)
                name = re.search(r'name="([^"]*)"', tag)[1]
                fields[name] = html.unescape(value[1]) if value else ""
        for name, options in re.findall(
            r'<select name="([^"]*)".*?>(.*?)</select>', form, re.S
        ):
            chosen = re.search(r"<option selected>(\w+)", options)
            chosen = chosen or re.search(r"<option>(\w+)", options)
            fields[name] = chosen[1]
        fields.update(texts)
        body = parse.urlencode(fields).encode()
        return await self.send(b"POST", action, body)

    async def publish(self, raw, base):
        document, _ = config.check(raw)
        return await self.publisher.apply(
            document, base_generation=base, author="other", message="m"
        )

    async def put_in_force(self, page):
        return await self.submit(
            page, "/apply", author="op", message="<b>maintenance"
        )


def run(main, published=True):
    async def wrapped():
        browser = Browser()
        if published:
            await browser.publish(RAW, 0)
        await browser.sign_in()
        await main(browser)

    curio.run(wrapped)


def find_problem(page, field):
    """Returns the first error shown after a field."""
    pattern = f'name="{re.escape(field)}".*?<p class="error">(.*?)</p>'
    return re.search(pattern, page, re.S)[1]


def test_zone_is_taken_out_after_its_difference_was_shown():
    """Guards against publishing a change before the preview is confirmed."""

    async def main(browser):
        page = await browser.open("/zones")
        preview = await browser.submit(page, "/zones", **{"1.state": "out"})
        assert "zones/zb/state: &#34;in&#34; -&gt; &#34;out" in preview
        assert (await browser.publisher.read()).generation == 1
        page = await browser.put_in_force(preview)
        assert "Generation 2 is accepted" in page
        published = await browser.publisher.read()
        assert [zone.state for zone in published.document.zones] == [
            "in",
            "out",
        ]
        page = await browser.open("/")
        assert "&lt;b&gt;maintenance" in page

    run(main)


@pytest.mark.parametrize("step", ["submit", "apply", "race"])
def test_form_of_an_older_generation_is_refused(step):
    """Guards against a form that overwrites another operator's change.

    The other change is published before the form is submitted, before the
    preview is confirmed, or while the confirmed edit is being published.
    """

    async def main(browser):
        other = {"zones": [*RAW["zones"], {"name": "zc"}], "services": []}
        page = await browser.open("/zones")
        if step == "submit":
            await browser.publish(other, 1)
        page = await browser.submit(page, "/zones", **{"1.state": "out"})
        if step == "apply":
            await browser.publish(other, 1)
        if step == "race":
            apply = browser.publisher.apply

            async def publish_before(*arguments, **options):
                browser.publisher.apply = apply
                await browser.publish(other, 1)
                return await apply(*arguments, **options)

            browser.publisher.apply = publish_before
        if step != "submit":
            page = await browser.put_in_force(page)
        assert browser.response.status == 409
        assert "+ zones/zc" in page
        published = await browser.publisher.read()
        assert published.generation == 2
        assert published.document.zones[1].state == "in"

    run(main)


def test_problem_is_shown_beside_its_field():
    """Guards against problems that are not shown at their fields."""

    async def main(browser):
        page = await browser.open("/servers?name=ledger")
        page = await browser.submit(
            page,
            "/servers",
            **{
                "0.delete": "on",
                "1.slots": "many",
                "3.address": "10.0.0.2:80",
                "3.zone": "zd",
            },
        )
        assert browser.response.status == 422
        assert "valid integer" in find_problem(page, "1.slots")
        assert "already the address" in find_problem(page, "3.address")
        assert "not in zones" in find_problem(page, "3.zone")
        assert 'value="many"' in page
        page = await browser.open("/service?name=ledger")
        page = await browser.submit(page, "/service", priority="10")
        assert "less than" in find_problem(page, "priority")
        page = await browser.open("/zones")
        page = await browser.submit(page, "/zones", **{"0.delete": "on"})
        assert "services[0].servers[0].zone" in page
        assert (await browser.publisher.read()).generation == 1

    run(main)


def test_forms_build_a_whole_document():
    """Guards against a form that cannot express a value or loses it."""

    async def main(browser):
        page = await browser.open("/zones")
        page = await browser.submit(
            page, "/zones", **{"0.name": "za", "1.name": "zb"}
        )
        await browser.put_in_force(page)
        page = await browser.open("/service")
        page = await browser.submit(
            page,
            "/service",
            name="archive",
            rate_limit_per_s="12.5",
            idempotent_methods="GET, HEAD",
        )
        await browser.put_in_force(page)
        page = await browser.open("/servers?name=archive")
        page = await browser.submit(
            page,
            "/servers",
            **{"1.address": "10.0.0.7:80", "1.zone": "zb", "1.slots": "3"},
        )
        await browser.put_in_force(page)
        document = (await browser.publisher.read()).document
        service = document.services[0]
        assert service.rate_limit_per_s == 12.5
        assert service.idempotent_methods == ("GET", "HEAD")
        assert service.servers[0].slots == 3
        # Submitting an unchanged form must change nothing.
        for path in ("/zones", "/service", "/servers"):
            page = await browser.open(f"{path}?name=archive")
            assert "<li>nothing</li>" in await browser.submit(page, path)
        page = await browser.open("/service?name=archive")
        await browser.put_in_force(await browser.submit(page, "/delete"))
        assert (await browser.publisher.read()).document.services == ()

    run(main, published=False)


def test_restore_shows_the_difference_first():
    """Guards against a restore without a preview or with another document."""

    async def main(browser):
        await browser.publish({**RAW, "services": []}, 1)
        page = await browser.open("/history")
        preview = await browser.submit(page, "/restore")
        assert "+ services/ledger" in preview
        await browser.put_in_force(preview)
        published = await browser.publisher.read()
        assert published.generation == 3
        assert published.document == config.check(RAW)[0]

    run(main)


def test_token_is_required(monkeypatch):
    """Guards against changes without the token, a session or a CSRF token."""
    monkeypatch.setattr(_console, "WRONG_TOKEN_DELAY_SECONDS", 0)

    async def main(browser):
        page = await browser.open("/zones")
        session, browser.cookie = browser.cookie, b""
        expiry, mac = session.split(b".")
        await browser.sign_in("wrong")
        assert browser.response.status == 403
        for cookie in (b"", expiry + b"9." + mac, b"banyandale_session=x.y"):
            browser.cookie = cookie
            await browser.submit(page, "/zones", **{"1.state": "out"})
            assert browser.response.header(b"location") == b"/login"
        browser.cookie = session
        await browser.submit(page, "/zones", key="0" * 64)
        assert browser.response.status == 400
        browser.clock.now += 9 * 3600
        await browser.send(b"GET", "/")
        assert browser.response.status == 303

    run(main)


@pytest.mark.parametrize(
    ("target", "status"),
    [
        ("/other", 404),
        ("/service?name=other", 404),
        ("/servers?name=%ff", 404),
        ("/status", 503),
        ("/style.css", 200),
    ],
)
def test_wrong_requests_get_a_page(target, status):
    """Guards against a request that raises instead of returning a page."""

    async def main(browser):
        browser.store.faults.down = target == "/status"
        await browser.send(b"GET", target)
        assert browser.response.status == status
        assert browser.response.header(b"content-security-policy")

    run(main)


@pytest.mark.parametrize(
    "fields",
    [
        {"edit": "{}"},
        {"edit": '{"section":"delete","name":"other"}'},
        {"edit": '{"section":"zones","value":[{"name":3}]}'},
        {"generation": "x"},
        {"key": "\xff"},
    ],
)
def test_damaged_form_changes_nothing(fields):
    """Guards against trusting the content of hidden fields."""

    async def main(browser):
        page = await browser.open("/zones")
        page = await browser.submit(page, "/zones", **{"1.state": "out"})
        await browser.submit(page, "/apply", author="op", **fields)
        assert browser.response.status in (400, 404, 422)
        assert (await browser.publisher.read()).generation == 1

    run(main)


def test_console_is_served_over_http():
    """Guards against a malformed request that stops the server."""

    async def main():
        listener = http.open_listener("127.0.0.1:0")
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        task = await curio.spawn(console.serve, Browser().console, listener)
        deadline = time.monotonic() + 5
        sock = await http.open_socket(
            address=address, source=None, deadline=deadline
        )
        await sock.sendall(b"nonsense\r\n\r\n")
        assert b" 400 " in await sock.recv(100)
        await sock.close()
        connection = await http.ClientConnection.open(
            address=address, deadline=deadline
        )
        for _ in range(2):
            response = await connection.exchange(
                http.Request(method=b"GET", target=b"/login"),
                limit=100_000,
                deadline=deadline,
            )
            assert b"Sign in" in response.body
        await connection.close()
        await task.cancel()

    curio.run(main)
