"""Test doubles of the platform's store and of backend servers over HTTP."""

import collections
import dataclasses
import json
import time
from urllib import parse

import curio

import banyandale_http as http
import banyandale_platform as platform
from banyandale_platform import testing

OBJECTS_PATH = "/banyandale/objects/"
PAGE_SIZE = 3
# Start of the servers in Unix milliseconds.
BORN_MS = 1_787_000_000_000
# Time for which a server runs a request that makes it crash.
CRASH_SECONDS = 0.04
# A server that has gone dark does not come back within a test.
DARK_SECONDS = 3600.0
CUT_CHECK_SECONDS = 0.02
# Cuts that hang open connections, and cuts that end new ones.
HANGS = frozenset({"silent", "stale"})
ENDS_NEW = frozenset({"reset", "no_new", "stale"})


def make_response(status, body=None, headers=()):
    if body is None or isinstance(body, bytes):
        data = body or b""
    else:
        data = json.dumps(body).encode()
    return http.Response(status=status, headers=tuple(headers), body=data)


class HttpStandin:
    """HTTP server at one address; subclasses handle the requests.

    Attributes:
        address: The address as `ip:port`, once started.
        connections: Number of accepted connections.
    """

    def __init__(self):
        self.address = None
        self.connections = 0
        self._listener = None
        self._tasks = []
        # Address of the caller of each open connection.
        self._serve_tasks = {}
        self._cuts = {}

    async def start(self, address):
        self._listener = http.open_listener(address)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self._tasks.append(await curio.spawn(self._accept, daemon=True))

    async def _accept(self):
        while True:
            sock, _ = await self._listener.accept()
            self.connections += 1
            await curio.spawn(self._serve, sock, daemon=True)

    async def _serve(self, sock):
        connection = http.ServerConnection(sock=sock)
        task = await curio.current_task()
        ip = sock.getpeername()[0]
        if self._cuts.get(ip) in ENDS_NEW:
            await sock.close()
            return
        self._serve_tasks[task] = ip
        try:
            while True:
                request = await connection.read_request(
                    limit=1 << 20, idle_deadline=time.monotonic() + 60
                )
                if request is None:
                    return
                while self._cuts.get(ip) in HANGS:
                    await curio.sleep(CUT_CHECK_SECONDS)
                response = await self.handle(request, sock)
                if self._cuts.get(ip) in HANGS:
                    return
                if response is None:
                    return
                await connection.send_response(response)
                if not connection.is_reusable:
                    return
        except http.HttpError:
            return
        finally:
            self._serve_tasks.pop(task, None)
            await connection.close()

    async def stop(self):
        for task in self._tasks:
            await task.cancel()
        await self._listener.close()

    async def cut(self, ip, how):
        """Cuts the path to one caller.

        Args:
            ip: Address of the caller.
            how: `silent` hangs all connections, `reset` ends open and new
                ones, `no_new` only new ones, `stale` hangs open and ends new
                ones; None ends the cut.
        """
        self._cuts[ip] = how
        if how == "reset":
            for task, caller in list(self._serve_tasks.items()):
                if caller == ip:
                    await task.cancel(blocking=False)

    async def crash(self):
        """Ends like a process: all connections break, new ones are refused."""
        await self.stop()
        current = await curio.current_task()
        for task in self._serve_tasks.keys() - {current}:
            await task.cancel(blocking=False)


class StoreStandin(HttpStandin):
    """The platform's object store over HTTP.

    Attributes:
        store: The stored objects; its `faults` apply to the HTTP calls.
        calls: Number of calls by method and kind.
        refusing: Whether it refuses all calls over HTTP.
        odd_metadata: Bytes sent in place of the metadata of an object, by kind
            and name.
    """

    def __init__(self):
        super().__init__()
        self.store = testing.MemoryStore()
        self.refusing = False
        self.odd_metadata = {}
        self.calls = collections.Counter()

    async def restore(self, copy):
        """Comes back from a copy, as `MemoryStore.restore`."""
        await self.store.restore(copy)

    async def put(self, kind, name, value):
        """Writes an object as the operator or a server does."""
        await self.put_bytes(kind, name, json.dumps(value).encode())

    async def put_bytes(self, kind, name, data):
        """Writes an object as another writer may: `{...}` of any bytes."""
        current = self.store.peek(kind=kind, name=name)
        if current is None:
            await self.store.create(kind=kind, name=name, value=data)
        else:
            await self.store.update(
                kind=kind, name=name, value=data, version=current.version
            )

    async def delete(self, kind, name):
        current = self.store.peek(kind=kind, name=name)
        await self.store.delete(kind=kind, name=name, version=current.version)

    def _encode(self, stored):
        """Returns an object as it is sent; its bytes may be no JSON."""
        metadata = self.odd_metadata.get((stored.kind, stored.name))
        if metadata is None:
            fields = {"name": stored.name, "revision": stored.version}
            metadata = json.dumps(fields).encode()
        rest = (stored.value or b"{}").strip()[1:]
        separator = b"" if rest.strip() == b"}" else b", "
        return b'{"metadata": %s%s%s' % (metadata, separator, rest)

    async def handle(self, request, _):
        path, _, query = request.target.decode().partition("?")
        fields = {
            key: values[0] for key, values in parse.parse_qs(query).items()
        }
        kind, _, name = path.removeprefix(OBJECTS_PATH).partition("/")
        self.calls[request.method.decode(), kind] += 1
        response = await self._answer(request, kind, name, fields)
        if response is None:
            return None
        if self.refusing:
            return make_response(503)
        era = (b"store-era", str(self.store.era).encode())
        return dataclasses.replace(response, headers=(*response.headers, era))

    async def _answer(self, request, kind, name, fields):
        try:
            return await self._handle(request, kind, name, fields)
        except platform.ConflictError as error:
            if error.current is None:
                return make_response(404)
            return make_response(409, self._encode(error.current))
        except platform.WatchExpiredError:
            return make_response(410)
        except platform.StoreUnavailableError:
            return make_response(503)
        except platform.OutcomeUnknownError:
            return None

    async def _handle(self, request, kind, name, fields):
        if request.method in {b"POST", b"PUT"}:
            return await self._write(request, kind)
        if request.method == b"DELETE":
            version = int(fields["revision"])
            stored = self.store.peek(kind=kind, name=name)
            await self.store.delete(kind=kind, name=name, version=version)
            return make_response(200, self._encode(stored))
        if "watch" in fields:
            return await self._watch(kind, fields)
        if name:
            stored = await self.store.get(kind=kind, name=name)
            return (
                make_response(404)
                if stored is None
                else make_response(200, self._encode(stored))
            )
        listing = await self.store.list(kind=kind)
        after = fields.get("after", "")
        rest = [stored for stored in listing.objects if stored.name > after]
        items = b", ".join(self._encode(stored) for stored in rest[:PAGE_SIZE])
        more = json.dumps(len(rest) > PAGE_SIZE).encode()
        return make_response(
            200,
            b'{"items": [%s], "hasMore": %s, "asOf": %d}'
            % (items, more, listing.version),
        )

    async def _write(self, request, kind):
        body = json.loads(request.body)
        metadata = body.pop("metadata")
        value = json.dumps(body).encode()
        if request.method == b"POST":
            stored = await self.store.create(
                kind=kind, name=metadata["name"], value=value
            )
        else:
            stored = await self.store.update(
                kind=kind,
                name=metadata["name"],
                value=value,
                version=metadata["revision"],
            )
        return make_response(200, self._encode(stored))

    async def _watch(self, kind, fields):
        changes = await self.store.watch(
            kinds=(kind,),
            since=int(fields["watch"]),
            deadline=time.monotonic() + int(fields["waitMs"]) / 1000,
        )
        events = b", ".join(
            b'{"deleted": %s, "object": %s}'
            % (
                json.dumps(change.type is platform.ChangeType.DELETE).encode(),
                self._encode(change.object),
            )
            for change in changes.changes
        )
        return make_response(
            200, b'{"events": [%s], "asOf": %d}' % (events, changes.version)
        )


class ServerStandin(HttpStandin):
    """A backend server.

    Attributes:
        id: Id of the server.
        executed_ids: Ids of the executed requests, in order.
        executed_headers: Headers of these requests.
        work_seconds: Duration of a request.
        find_work: Returns the duration of a request; `work_seconds` unless
            replaced.
        override_response: Called with each request before it is executed. A
            response that it returns is sent instead, and False closes the
            connection. With None, the request is executed.
        load: Load header of its reports.
        cold_ms: Reported milliseconds until it is warm.
        healthy: Whether it responds with 200 to health checks.
        cancelled: Ids of the requests whose connection was closed during
            their execution.
        limit: Requests per second that it names in its answers, or None.
        report_seconds: Time until it answers a health check.
        born: Start of its process in Unix milliseconds.
        crash_prefix: Requests whose path starts with it end the server while
            it runs them; None for no requests.
        crashes_silently: Whether such a request leaves its connections open
            and hanging, and new ones too.
        crash_seconds: Time for which it runs such a request before it crashes.
        crashing_at: Monotonic seconds at which it began such a request.
        ended_at: Monotonic seconds when it crashed, or None.
    """

    def __init__(self, name):
        super().__init__()
        self.id = name
        self.executed_ids = []
        self.executed_headers = []
        self.work_seconds = 0.0
        self.find_work = lambda request: self.work_seconds
        self.override_response = lambda request: None
        self.load = "0,0,2,100"
        self.cold_ms = 0
        self.healthy = True
        self.cancelled = []
        self.limit = None
        self.born = BORN_MS
        self.report_seconds = 0.0
        self.crash_prefix = None
        self.crashes_silently = False
        self.crash_seconds = CRASH_SECONDS
        self.crashing_at = []
        self.ended_at = None

    async def handle(self, request, sock):
        """Answers a request, unless the server has gone dark before or since.

        A dark server sends nothing and closes nothing.
        """
        if not self._is_dark():
            response = await self._answer(request, sock)
            if not self._is_dark():
                return response
        await curio.sleep(DARK_SECONDS)
        return None

    def _is_dark(self):
        return self.crashes_silently and self.ended_at is not None

    async def _answer(self, request, sock):
        if request.target == b"/health":
            await curio.sleep(self.report_seconds)
            return make_response(
                200 if self.healthy else 503,
                headers=(
                    (b"x-instance-id", self.id.encode()),
                    (b"x-server-load", self.load.encode()),
                    (b"x-warmup-ms", str(self.cold_ms).encode()),
                ),
            )
        request_id = request.header(b"x-request-id")
        expected = request.header(b"x-expect-instance")
        if expected not in (None, self.id.encode()):
            return make_response(
                421,
                headers=(
                    (b"x-instance-id", self.id.encode()),
                    (b"x-request-id", request_id),
                ),
            )
        response = self.override_response(request)
        if response is not None:
            return response or None
        self.executed_ids.append(request_id.decode())
        self.executed_headers.append(dict(request.headers))
        if self.crash_prefix and request.target.startswith(self.crash_prefix):
            self.crashing_at.append(time.monotonic())
            await curio.sleep(self.crash_seconds)
            if self.ended_at is None:
                self.ended_at = time.monotonic()
                if not self.crashes_silently:
                    await self.crash()
            return None
        until = time.monotonic() + self.find_work(request)
        while time.monotonic() < until:
            if http.peek(sock) == b"":
                self.cancelled.append(request_id.decode())
                return None
            await curio.sleep(0.01)
        return make_response(
            200,
            {"server": self.id, "body": request.body.decode()},
            headers=(
                (b"x-request-id", request_id),
                (b"x-response-seal", b"seal"),
                *self._name_limit(),
            ),
        )

    def _name_limit(self):
        if self.limit is None:
            return ()
        return ((b"server-limit", str(self.limit).encode()),)

    def make_entry(self, service, zone="a", state="ready", **fields):
        """Returns the entry that the server writes to the store."""
        entry = make_server_entry(self.address, service, zone=zone, state=state)
        entry["specification"] |= {"born": self.born, **fields}
        return entry


def make_server_entry(address, service, *, zone="a", state="ready", slots=2):
    """Returns the entry that a server writes to the store."""
    return {
        "specification": {
            "address": address,
            "nodeInfo": {
                "service": service,
                "version": "v1",
                "zone": zone,
                "capacitySlots": slots,
            },
            "born": BORN_MS,
        },
        "status": {"state": state, "seq": 1, "warmupLeftS": 0},
    }


def make_configuration(
    version, rules, *, host="h.example", target_seconds=0.6, **limits
):
    """Returns a configuration; rules are (prefix, kind, service, fields)."""
    return {
        "specification": {
            "version": version,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 100_000,
                "headerTimeoutS": 3,
                "idleTimeoutS": 15,
                **limits,
            },
            "listeners": [
                {
                    "host": host,
                    "rules": [
                        {
                            "name": f"r{index}",
                            "kind": kind,
                            "targetLatencyS": target_seconds,
                            "priority": 1,
                            "matchRule": {"pathPrefix": prefix},
                            "routeAction": {
                                "service": service,
                                "timeoutS": 1.2,
                                "maxAttempts": 2,
                                **fields,
                            },
                        }
                        for index, (prefix, kind, service, fields) in (
                            enumerate(rules)
                        )
                    ],
                }
            ],
            "upstreamClusters": [
                {
                    "name": name,
                    "healthPath": "/health",
                    "maxConns": 100,
                    "protocol": "h1",
                    "tls": False,
                    "warmupS": 3.0,
                    "warmupPerS": 2.0,
                }
                for name in ("s", "t")
            ],
        }
    }
