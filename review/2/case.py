"""A worker that is cut from the store gives up the items of a new route."""

import base64
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from fleet import (BROKEN, HELD, NOT_RUN, TROUBLE, call, config, main, now,
                   route)

HOST = "ficu95.example"
CUT_S = 4.5
JOBS, ITEMS = 12, 4


def batch_route(name, prefix):
    return route(name, HOST, prefix, "batch", max_attempts=3, timeout_ms=15000,
                 run_target_ms=18000, retention_s=60)


def submit(fleet, record, prefix, job):
    items = [{"id": f"{job}{n:02x}", "path": f"{prefix}{n}/x", "headers": {
        "X-Pomeloslip-Model": "m", "X-Pomeloslip-Token-Count": "350,220"},
        "body": base64.b64encode(b"text").decode(), "token_count": 570}
        for n in range(ITEMS)]
    body = json.dumps({"items": items}).encode()
    headers = {"Host": HOST, "X-Pomeloslip-Attempt-Id": job,
               "Content-Type": "application/json"}
    for attempt in range(20):
        front = fleet.fronts[attempt % len(fleet.fronts)]
        status, _, _ = call(front.front, "POST", f"{prefix}{job}", headers,
                            body, 4)
        record("client: job", job, "to", front.name, "answered", status)
        if status == 202:
            return True
        time.sleep(0.1)
    return False


def read(fleet, job):
    for front in fleet.fronts:
        status, _, body = call(front.front, "GET", f"/-/lots/{job}?after=0",
                               {"Host": HOST}, timeout_s=3)
        if status == 200:
            return json.loads(body)["results"]
    return []


def case(fleet, record):
    for _ in range(6):
        fleet.replica()
    store = fleet.store
    old = batch_route("night-summary", "/lohu930/")
    store.put("op/config", config(100, [old]))
    fleet.start()
    time.sleep(2)
    if not submit(fleet, record, "/lohu930/", "00000000000000aa"):
        return NOT_RUN
    time.sleep(2)
    cut = fleet.workers[0]
    if TROUBLE:
        record("link of", cut.name, "to the store is cut")
        cut.link.cut()
    cut_at = now()
    time.sleep(0.2)
    new = batch_route("day-summary", "/puxa403/")
    store.put("op/config", config(107, [old, new]))
    record("operator: config 107 with route day-summary is acknowledged")
    time.sleep(0.3)
    jobs = {}
    for number in range(JOBS):
        job = f"00000000000001{number:02x}"
        jobs[job] = submit(fleet, record, "/puxa403/", job)
        time.sleep(0.1)
    time.sleep(max(0, cut_at + CUT_S - now()))
    if TROUBLE:
        cut.link.heal()
        record("the cut has ended")
    until = now() + 25
    broken = 0
    while now() < until:
        results = {job: read(fleet, job) for job, ok in jobs.items() if ok}
        if all(len(found) == ITEMS for found in results.values()):
            break
        time.sleep(0.5)
    runs = {id for replica in fleet.replicas for id in replica.runs}
    for job, found in results.items():
        for result in found:
            record("result: job", job, "item", result["id"], result["state"],
                   "runs", int(result["id"] in runs))
            text = fleet.replicas[0].text(result["id"])
            if result["state"] == "dead_letter":
                broken += 1
            elif result["output"] != text:
                record("wrong text", result["output"])
                broken += 1
    accepted = sum(jobs.values())
    print(f"{accepted} jobs accepted, {broken} items given up or wrong")
    record(accepted, "jobs accepted;", broken, "items given up or wrong")
    if accepted < JOBS:
        return NOT_RUN
    return BROKEN if broken else HELD


main(case)
