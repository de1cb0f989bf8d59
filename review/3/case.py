"""A late extra refusal of one request is taken as the answer to the next."""

import collections
import itertools
import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
from fleet import (BROKEN, HELD, NOT_RUN, TROUBLE, Replica, call, config, main,
                   now, route)

HOST = "ficu95.example"
CALLERS = 40
REPLICAS, SLOTS, QUEUE = 5, 4, 2
# The dose: a part of the answers of some replicas, for some seconds, a few
# times, a second apart.
SHARE, DISTURBED, FOR_S, TIMES = 0.03, 3, 5.0, 4
TRAFFIC_S = TIMES * (FOR_S + 1)


class Sender(Replica):
    """Sends some of its answers twice: the extra copy comes late, where the
    next answer on the channel is expected."""

    began = None
    answers = 0
    extras = 0

    def __init__(self, *args, **options):
        self.late = {}
        self.random = random.Random(args[2])
        super().__init__(*args, **options)

    def serve(self, channel):
        super().serve(channel)
        self.late.pop(channel, None)

    def respond(self, channel, request):
        is_call = request.path.startswith("/lohu930/")
        extra = self.late.pop(channel, None) if is_call else None
        if extra is not None:
            id, answer = extra
            self.extras += 1
            self.record("replica", self.name, "sends the answer to", id,
                        "once more, while", request.header(
                            "X-Pomeloslip-Attempt-Id"), "waits")
            channel.sendall(answer)
        return super().respond(channel, request)

    def answered(self, channel, id, answer):
        self.answers += 1
        if self.is_disturbed() and self.random.random() < SHARE:
            self.late[channel] = (id, answer)

    def is_disturbed(self):
        if self.began is None:
            return False
        spell, into_s = divmod(now() - self.began, FOR_S + 1)
        return spell < TIMES and into_s < FOR_S


def case(fleet, record):
    replicas = [fleet.replica(Sender, slots=SLOTS, queue=QUEUE, events=8,
                              gap_s=0.01) for _ in range(REPLICAS)]
    mark_check = route("mark-check", HOST, "/lohu930/", "streaming",
                       max_attempts=1, target_latency_ms=300,
                       resumable=False, gap_target_ms=250)
    fleet.store.put("op/config", config(100, [mark_check]))
    fleet.start()
    time.sleep(1)
    answered = {}
    numbers = itertools.count()
    lock = threading.Lock()
    if TROUBLE:
        for replica in replicas[:DISTURBED]:
            replica.began = now()
    end = now() + TRAFFIC_S

    def caller():
        while now() < end:
            with lock:
                number = next(numbers)
            id = f"{number:016x}"
            front = fleet.fronts[number % len(fleet.fronts)]
            headers = {"Host": HOST, "X-Pomeloslip-Attempt-Id": id,
                       "X-Pomeloslip-Model": "m",
                       "X-Pomeloslip-Token-Count": "450,32",
                       "X-Pomeloslip-Deadline-Ms": "5000"}
            status, head, _ = call(front.front, "POST", f"/lohu930/{number}",
                                   headers, b"text", 6)
            record("client:", id, "at", front.name, "answered", status)
            answered[id] = status
            if status == 503:
                wait_s = float(head.get("Retry-After")
                               or head.get("retry-after") or 0)
                time.sleep(min(max(wait_s, 0.02), 1.6))

    callers = [threading.Thread(target=caller) for _ in range(CALLERS)]
    for thread in callers:
        thread.start()
    for thread in callers:
        thread.join()
    time.sleep(1)
    runs = collections.Counter(
        id for replica in replicas for id in replica.runs)
    twice = [id for id, count in runs.items() if count > 1]
    refused = [id for id in runs if answered.get(id) in (408, 421, 429, 503)]
    for id in twice:
        record("broken TWICE:", id, "ran", runs[id], "times")
    for id in refused:
        record("broken REFUSED:", id, "answered", answered[id], "and ran")
    for replica in replicas:
        record("replica", replica.name, replica.answers, "answers",
               replica.extras, "extra")
    extras = sum(replica.extras for replica in replicas)
    counts = collections.Counter(answered.values())
    text = (f"{len(answered)} requests {dict(counts)}, {extras} extra answers, "
            f"{len(twice)} ran twice, {len(refused)} refused and ran")
    print(text)
    record(text)
    if TROUBLE and not extras:
        return NOT_RUN
    return BROKEN if twice else HELD


main(case)
