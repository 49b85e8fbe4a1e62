"""A request that silences each upstream is sent on and on.

One request, repeated by its caller with new ids, crashes every upstream that
begins to run it. The upstream goes dark: it sends nothing any more and its
connections hang. With TROUBLE=0 it crashes with an end of its connections.
"""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import standins  # noqa: E402

DISRUPTED = os.environ.get("TROUBLE", "1") != "0"
CRASHING_PATH = "/sync/crash"
UPSTREAMS = 12
CRASH_S = 0.04
# Three heartbeats of 1.5 s, after which the entry of a silent upstream goes.
LAPSE_S = 4.5
# An upstream is back after some seconds, with a new id.
BACK_S = 6.0
CONTACT_S = 3.0
# Retries that may still reach upstreams after the third crash.
ALLOWED_RETRIES = 3
CRASHING_GAP_S = 0.25
USUAL_GAP_S = 0.1
PLAY_S = 24.0


class Fleet:
    """The upstreams, with those that come back."""

    def __init__(self, net, store, record):
        self._net = net
        self._store = store
        self._record = record
        self._started = 0
        self.all = []
        # Times at which the crashing request reached an upstream, and at which
        # an upstream crashed.
        self.reached = []
        self.crashed = []
        # Other requests that were running at an upstream that crashed.
        self.lost = []

    async def start_one(self):
        number = self._started
        self._started += 1
        upstream = CrashingUpstream(
            f"{self._net}.{50 + number}",
            name=f"i-{number}",
            service="clinicas",
            zone=("za", "zb")[number % 2],
            record=self._record,
        )
        upstream.fleet = self
        upstream.work = lambda request_id, path: 0.2
        await upstream.start()
        self._store.put("servers", upstream.name, upstream.entry())
        self.all.append(upstream)

    async def replace(self, upstream):
        await asyncio.sleep(LAPSE_S)
        self._store.delete("servers", upstream.name)
        self._record.write("entry_lapsed", upstream=upstream.name)
        await asyncio.sleep(BACK_S - LAPSE_S)
        await self.start_one()


class CrashingUpstream(standins.Upstream):
    """An upstream that one request crashes."""

    fleet = None
    dark = False

    async def answer(self, method, target, headers, body, reader):
        if self.dark:
            await asyncio.sleep(3600)
        answer = await super().answer(method, target, headers, body, reader)
        if self.dark:
            await asyncio.sleep(3600)
        return answer

    async def _run(self, request_id, target, body, reader, common):
        if not target.startswith(CRASHING_PATH):
            answer = await super()._run(
                request_id, target, body, reader, common
            )
            if self.dark:
                self.fleet.lost.append(request_id)
            return answer
        now = time.monotonic()
        self.began[request_id] = now
        self.fleet.reached.append(now)
        self._record.write(
            "crashing_request_runs", id=request_id, upstream=self.name
        )
        await asyncio.sleep(CRASH_S)
        if not self.dark:
            self.dark = True
            self.fleet.crashed.append(time.monotonic())
            self._record.write("crashed", upstream=self.name)
            asyncio.create_task(self.fleet.replace(self))
            if not DISRUPTED:
                await self.stop()
        await asyncio.sleep(3600)


async def main(record, temporary):
    net = standins.draw_subnet()
    store = standins.Store(f"{net}.1")
    await store.start()
    rules = [("/sync/", "idempotent", {"service": "clinicas", "timeoutS": 1.2})]
    store.put(
        "config", "main", standins.make_configuration(1, rules, ["clinicas"])
    )
    fleet = Fleet(net, store, record)
    for _ in range(UPSTREAMS):
        await fleet.start_one()
    ips = {f"{net}.10": "za", f"{net}.11": "za", f"{net}.20": "zb"}
    gateways = standins.Gateways(
        temporary, store.address, record, ["za", "zb"], ips
    )
    try:
        for ip in ips:
            await gateways.start(ip)
        for ip in ips:
            if not await gateways.wait_ready(ip):
                raise standins.Blocked("a gateway did not become ready")
        await asyncio.sleep(CONTACT_S + 1)
        return await play(record, gateways, fleet)
    finally:
        await gateways.stop()
        await store.stop()
        for upstream in fleet.all:
            await upstream.stop()


async def send_often(record, gateways, name, path, gap_s, until):
    source = random.Random(27)
    tasks = []
    while time.monotonic() < until:
        address = gateways.front_address(source.choice(list(gateways.ips)))
        number = len(tasks)
        target = path if path == CRASHING_PATH else f"{path}{number}"
        tasks.append(
            asyncio.create_task(
                send(record, address, target, f"{name}-{number}")
            )
        )
        await asyncio.sleep(gap_s)
    return await asyncio.gather(*tasks)


async def send(record, address, target, request_id):
    requester = standins.Requester(address, record)
    answer = await requester.send("GET", target, request_id, deadline_ms=2500)
    requester.close()
    return answer


async def play(record, gateways, fleet):
    until = time.monotonic() + PLAY_S
    usual, _ = await asyncio.gather(
        send_often(record, gateways, "usual", "/sync/u", USUAL_GAP_S, until),
        send_often(
            record, gateways, "crash", CRASHING_PATH, CRASHING_GAP_S, until
        ),
    )
    late = []
    if len(fleet.crashed) >= 3:
        after = sorted(fleet.crashed)[2] + CONTACT_S
        late = [at for at in fleet.reached if at > after]
    record.write(
        "summary",
        upstreams_crashed=len(fleet.crashed),
        reached_upstreams=len(fleet.reached),
        reached_later_than_contact_after_third=len(late),
        other_requests_lost_at_crashed_upstreams=len(fleet.lost),
        others_served=sum(answer.served for answer in usual),
        others_sent=len(usual),
    )
    return len(late) > ALLOWED_RETRIES


standins.run_case(main, FOLDER)
