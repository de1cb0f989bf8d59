"""Results that pile up while the store is down are never listed."""

import base64
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from fleet import (BROKEN, HELD, NOT_RUN, TROUBLE, call, config, main, now,
                   route)

HOST = "ficu95.example"
DOWN_S = 4.5
FINISH_S = 18.0
CALM_S = 5.0
ITEMS = 200
# An item has 340 tokens (352 at most) of 65 bytes; 20 of them share an event.
EVENTS, EVENT_BYTES, RUN_S = 17, 1300, 1.0


def submit(fleet, record, job, items):
    body = json.dumps({"items": [
        {"id": f"{job}{n:02x}", "path": f"/lohu930/{n}/x", "headers": {
            "X-Pomeloslip-Model": "m", "X-Pomeloslip-Token-Count": "350,352"},
         "body": base64.b64encode(b"text").decode(), "token_count": 702}
        for n in range(items)]}).encode()
    headers = {"Host": HOST, "X-Pomeloslip-Attempt-Id": job,
               "Content-Type": "application/json"}
    for attempt in range(20):
        front = fleet.fronts[attempt % len(fleet.fronts)]
        status, _, _ = call(front.front, "POST", f"/lohu930/{job}", headers,
                            body, 4)
        record("client: job", job, "of", items, "items to", front.name,
               "answered", status)
        if status == 202:
            return True
        time.sleep(0.2)
    return False


def read(fleet, record, job):
    """Reads all results of a job, page by page."""
    results, failures = [], 0
    while failures < 10:
        front = fleet.fronts[failures % len(fleet.fronts)]
        path = f"/-/lots/{job}?after={len(results)}"
        status, _, body = call(front.front, "GET", path, {"Host": HOST},
                               timeout_s=3)
        if status != 200:
            failures += 1
            time.sleep(0.2)
            continue
        page = json.loads(body)
        results += page["results"]
        if not page["results"] or len(results) == page["total"]:
            break
    record("client: job", job, "has", len(results), "results listed")
    return results


def case(fleet, record):
    for _ in range(9):
        fleet.replica(slots=8, events=EVENTS, gap_s=RUN_S / EVENTS,
                      padding="x" * (EVENT_BYTES - 21))
    store = fleet.store
    summary = route("night-summary", HOST, "/lohu930/", "batch",
                    max_attempts=3, timeout_ms=15000, run_target_ms=18000,
                    retention_s=60)
    store.put("op/config", config(100, [summary]))
    fleet.start()
    time.sleep(2)
    jobs = [f"7c41e09b52d6a3{n:02x}" for n in range(3)]
    for job in jobs:
        if not submit(fleet, record, job, ITEMS):
            return NOT_RUN
        time.sleep(0.3)
    ended = now()
    record("the traffic has ended")
    time.sleep(1)
    if TROUBLE:
        store.go_down()
        record("the store is down")
    time.sleep(DOWN_S)
    if TROUBLE:
        store.come_back()
        record("the store is back")
    # finish_s, and as long again, in which nothing more comes.
    while now() < ended + 2 * FINISH_S:
        time.sleep(2)
        if all(len(read(fleet, record, job)) == ITEMS for job in jobs):
            break
    results = {job: read(fleet, record, job) for job in jobs}
    listed = {result["id"] for found in results.values() for result in found}
    text = {id: replica.text(id) for replica in fleet.replicas
            for id in replica.runs}
    wrong = [r["id"] for found in results.values() for r in found
             if r["state"] != "complete" or r["output"] != text.get(r["id"])]
    missing = [id for job in jobs for n in range(ITEMS)
               if (id := f"{job}{n:02x}") not in listed]
    running = sum(replica.running for replica in fleet.replicas)
    last = max(replica.last_end for replica in fleet.replicas)
    for id in missing:
        record("broken LOST: item", id, "isn't listed; it has run",
               sum(id in replica.runs for replica in fleet.replicas), "times")
    for id in wrong:
        record("item", id, "is listed, but not with its whole text")
    text = (f"{len(missing)} of {len(jobs) * ITEMS} items aren't listed "
            f"{now() - ended:.0f} s after the traffic, {len(wrong)} are "
            f"wrong; {running} run, the last run ended {now() - last:.1f} s "
            f"ago; the largest value that the store was sent has "
            f"{store.largest} bytes, it rejected {store.rejected} calls")
    print(text)
    record(text)
    calm = running == 0 and now() - last >= CALM_S
    if missing and not calm:
        return NOT_RUN
    return BROKEN if missing else HELD


main(case)
