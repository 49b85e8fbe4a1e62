"""A planned stop cuts calls that the gateway accepted late in its grace time.

One of two gateways gets SIGTERM under light load. A requester that asked for
addresses just before keeps the answer three times as long as `ttlS` and sends
orders until then. The usual work of an order is 0.29 s, as on the site; one late order
in three takes 1.9 s (the site's largest is 2.1 s).
"""

import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import standins  # noqa: E402

DISRUPTED = os.environ.get("TROUBLE", "1") != "0"
LONG_WORK_S = 1.9
USUAL_WORK_S = 0.29
# Requests are judged from 3 s after SIGTERM until requesters leave.
FIRST_LATE_S = 3.1
LAST_S = 4.4


async def main(record, temporary):
    net = standins.draw_subnet()
    store = standins.Store(f"{net}.1")
    await store.start()
    rules = [
        ("/orders/", "non_idempotent", {"service": "ledger", "timeoutS": 3.0})
    ]
    store.put(
        "config", "main", standins.make_configuration(1, rules, ["ledger"])
    )
    upstreams = []
    for number in range(6):
        upstream = standins.Upstream(
            f"{net}.{50 + number}",
            name=f"i-{number}",
            service="ledger",
            zone="za",
            record=record,
        )
        upstream.work = lambda request_id, path: (
            LONG_WORK_S if "long" in path else USUAL_WORK_S
        )
        await upstream.start()
        store.put("servers", upstream.name, upstream.entry())
        upstreams.append(upstream)
    ips = {f"{net}.10": "za", f"{net}.11": "za"}
    gateways = standins.Gateways(temporary, store.address, record, ["za"], ips)
    try:
        for ip in ips:
            await gateways.start(ip)
        for ip in ips:
            if not await gateways.wait_ready(ip):
                raise standins.Blocked("a gateway did not become ready")
        return await play(record, gateways, upstreams, list(ips)[0])
    finally:
        await gateways.stop()
        await store.stop()
        for upstream in upstreams:
            await upstream.stop()


async def play(record, gateways, upstreams, ip):
    # Usual traffic over a kept connection, past `contactS` and the first calls.
    requester = standins.Requester(gateways.front_address(ip), record)
    for number in range(25):
        path = f"/orders/{'long' if number % 5 == 4 else 'usual'}"
        await requester.send("POST", path, f"before-{number}", body=b"order")
        await asyncio.sleep(0.1)
    found = await gateways.resolve(ip, "za")
    if not found or gateways.front_address(ip) not in found["addresses"]:
        raise standins.Blocked("the gateway is not named to requesters")
    known_at = time.monotonic()
    keep_s = 3 * min(found["ttlS"], 5)
    record.write("resolved", ttl=found["ttlS"], kept=keep_s)
    if DISRUPTED:
        gateways.send_signal(ip, signal.SIGTERM)
    stopped_at = time.monotonic()
    late = []
    number = 0
    while True:
        now = time.monotonic()
        if now >= min(stopped_at + LAST_S, known_at + keep_s):
            break
        if now >= stopped_at + FIRST_LATE_S:
            kind = "long" if number % 3 == 0 else "usual"
            late.append(
                asyncio.create_task(
                    send(record, gateways, ip, stopped_at, kind, number)
                )
            )
            number += 1
        await asyncio.sleep(0.08)
    results = await asyncio.gather(*late)
    code = None
    if DISRUPTED:
        code = await asyncio.wait_for(gateways.processes[ip].wait(), 5)
    record.write(
        "gateway_ended",
        code=code,
        seconds_after_sigterm=round(time.monotonic() - stopped_at, 2),
    )
    ran = {i for upstream in upstreams for i in upstream.began}
    lost = [i for i, answer in results if answer.status is None and i in ran]
    refused = [i for i, answer in results if answer.status in (429, 503)]
    record.write(
        "summary",
        sent=len(results),
        served=sum(answer.served for _, answer in results),
        refused=len(refused),
        passed_on_and_cut=",".join(lost) or "none",
    )
    return bool(lost)


async def send(record, gateways, ip, stopped_at, kind, number):
    after = time.monotonic() - stopped_at
    request_id = f"late-{number}-{kind}-{after:.2f}"
    requester = standins.Requester(gateways.front_address(ip), record)
    answer = await requester.send(
        "POST", f"/orders/{kind}", request_id, body=b"order"
    )
    requester.close()
    if answer.status is None:
        record.write(
            "cut",
            id=request_id,
            seconds_after_sigterm=round(time.monotonic() - stopped_at, 2),
        )
    return request_id, answer


standins.run_case(main, FOLDER)
