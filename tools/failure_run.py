#!/usr/bin/env python3
"""Runs a deployment under failures and checks what callers were told.

Entry instances are killed and frozen, the store goes away for 10 s, one pool
fails every task, workers are killed and responses of the store are lost. The
checker compares the callers' answers with the workers' execution logs. Prints
one JSON object a line: counts, then `violations`; exits with 1 if there is
one.
"""
import argparse
import http.client
import json
import random
import signal
import sys
import threading
import time

from deployment import Deployment, Fault, http_json

FREEZE_SECONDS = 5
STORE_DOWN_SECONDS = 10
SETTLE_SECONDS = 60


class Call:
    """One request or job of a caller, with everything that it was told."""

    def __init__(self, key, queue, caller, idempotent, is_job):
        self.key = key
        self.queue = queue
        self.caller = caller
        self.idempotent = idempotent
        self.is_job = is_job
        self.marker = f"answer-{key}"
        self.told = []
        self.job = None


class Callers:
    """Threads that act as callers and keep what they were told."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.seed = seed
        self.calls = []
        self.lock = threading.Lock()
        self.stop = threading.Event()

    def run(self, number):
        chance = random.Random(self.seed * 1000 + number)
        sequence = 0
        while not self.stop.is_set():
            queue, caller, priority = self.deployment.queue(chance.randrange(100))
            is_job = chance.random() < 0.2
            call = Call(f"c{number}-{sequence}", queue, caller,
                        chance.random() < 0.4, is_job)
            sequence += 1
            with self.lock:
                self.calls.append(call)
            self.submit(call, priority, chance)
            time.sleep(chance.random() * 0.1)

    def submit(self, call, priority, chance):
        body = self.deployment.body(call.queue, call.key, call.marker, priority,
                                    call.idempotent, sleep_ms=chance.randrange(5, 120))
        path = "/v1/jobs" if call.is_job else "/v1/requests"
        # A caller that got no answer asks again through another instance.
        for attempt in range(4):
            body["first"] = attempt == 0
            members = self.deployment.ready_members()
            port = chance.choice(members).caller_port
            try:
                _, result = http_json(port, "POST", path, body,
                                      token=f"{call.caller}-token", timeout=8)
            except (OSError, http.client.HTTPException, ValueError):
                call.told.append({"status": "no_answer"})
                continue
            call.told.append(result)
            if result.get("job"):
                call.job = result["job"]
            if result.get("status") != "unknown" or chance.random() < 0.5:
                return


class Failures:
    """Causes the failures, one after the other and overlapping."""

    def __init__(self, deployment, seed, seconds):
        self.deployment = deployment
        self.chance = random.Random(seed)
        self.seconds = seconds
        self.done = []

    def run(self):
        pool = self.deployment.bundle["pools"][0]["name"]
        victims = [w["id"] for w in self.deployment.bundle["workers"]
                   if w["pool"] == pool]
        steps = [
            lambda: self.kill_member(1),
            lambda: self.freeze_member(3),
            lambda: self.lose_store_responses(),
            lambda: self.fail_pool(victims),
            lambda: self.store_down(),
            lambda: self.kill_worker(),
            lambda: self.freeze_member(4),
            lambda: self.kill_member(0),
            lambda: self.truncate_worker(),
            lambda: self.replace_gracefully(5),
        ]
        pause = self.seconds / (len(steps) + 1)
        for step in steps:
            step()
            time.sleep(pause)

    def kill_member(self, position):
        member = self.deployment.members[position]
        member.kill()
        self.done.append(f"kill {member.name}")
        time.sleep(1)
        member.start()

    def freeze_member(self, position):
        member = self.deployment.members[position]
        member.signal(signal.SIGSTOP)
        self.done.append(f"freeze {member.name}")
        timer = threading.Timer(FREEZE_SECONDS,
                                lambda: member.signal(signal.SIGCONT))
        timer.start()

    def lose_store_responses(self):
        self.deployment.set_fault("store_lose_response", probability=0.3,
                                  duration_ms=5000)
        self.done.append("lose 30 % of the store's responses for 5 s")

    def fail_pool(self, workers):
        for worker in workers:
            self.deployment.set_fault("worker_fail_tasks", worker=worker,
                                      duration_ms=8000)
        self.done.append("one pool fails every task for 8 s")

    def store_down(self):
        self.deployment.set_fault("store_down",
                                  duration_ms=STORE_DOWN_SECONDS * 1000)
        self.done.append(f"store down for {STORE_DOWN_SECONDS} s")

    def kill_worker(self):
        worker = self.chance.choice(self.deployment.bundle["workers"])["id"]
        self.deployment.set_fault("worker_kill", worker=worker, duration_ms=4000)
        self.done.append(f"kill {worker} for 4 s")

    def truncate_worker(self):
        worker = self.chance.choice(self.deployment.bundle["workers"])["id"]
        self.deployment.set_fault("worker_truncate", worker=worker,
                                  probability=0.5, duration_ms=4000)
        self.done.append(f"truncate half of the responses of {worker} for 4 s")

    def replace_gracefully(self, position):
        self.deployment.replace_member(position)
        self.done.append("replace one instance gracefully")


def wait_for_jobs(deployment, calls, seconds):
    """Asks for each accepted job until it ended; returns the final results."""
    finals = {}
    open_jobs = {c.job: c for c in calls if c.job}
    deadline = time.monotonic() + seconds
    while open_jobs and time.monotonic() < deadline:
        for job, call in list(open_jobs.items()):
            try:
                result = deployment.job_state(call.caller, job, len(finals))
            except (OSError, http.client.HTTPException, ValueError):
                continue
            finals[job] = result
            if result.get("status") in ("done", "failed", "not_run"):
                del open_jobs[job]
        time.sleep(0.2)
    return finals


def lost_markers(log):
    return {e["token"] for e in log if e["outcome"] == "lost"}


def violations(calls, finals, log):
    """Yields one line for each broken promise that an outsider can see."""
    starts = {}
    for entry in log:
        starts.setdefault(entry["token"], []).append(entry)
    lost = lost_markers(log)
    for call in calls:
        runs = starts.get(call.marker, [])
        told = call.told + ([finals[call.job]] if call.job in finals else [])
        if not call.idempotent and len(runs) > 1:
            yield f"{call.key}: not idempotent, started {len(runs)} times"
        for result in told:
            yield from answer_faults(call, result, runs)
        if call.job and finals.get(call.job, {}).get("status") not in (
                "done", "failed", "not_run") and call.marker not in lost:
            yield f"{call.key}: accepted job has not ended: {finals.get(call.job)}"


def answer_faults(call, result, runs):
    status = result.get("status")
    earlier_unknown = any(t.get("status") in ("no_answer", "unknown")
                          for t in call.told)
    if status == "not_run" and runs and not (call.idempotent and earlier_unknown):
        yield f"{call.key}: told not_run ({result.get('reason')}), but it ran"
    if status == "done":
        answers = [r["answer"] for r in runs]
        if f'"answer":"{call.marker}"' not in result["answer"]:
            yield f"{call.key}: got the answer of another request"
        elif result["answer"] not in answers:
            yield f"{call.key}: answer is not whole"


def summary(calls, finals, log, failures):
    told = {}
    for call in calls:
        status = call.told[-1].get("status") if call.told else "none"
        told[status] = told.get(status, 0) + 1
    reasons = {}
    for call in calls:
        for result in call.told:
            if result.get("reason"):
                reasons[result["reason"]] = reasons.get(result["reason"], 0) + 1
    ends = {}
    for result in finals.values():
        ends[result.get("status")] = ends.get(result.get("status"), 0) + 1
    return {"calls": len(calls), "last_told": told, "reasons": reasons,
            "jobs_accepted": len(finals), "job_ends": ends,
            "task_starts": len(log), "failures": failures.done}


def run(arguments):
    deployment = Deployment(arguments.build, arguments.deployment)
    try:
        deployment.start()
        deployment.put_bundle_into_force()
        callers = Callers(deployment, arguments.seed)
        threads = [threading.Thread(target=callers.run, args=(n,))
                   for n in range(arguments.callers)]
        failures = Failures(deployment, arguments.seed, arguments.seconds)
        for thread in threads:
            thread.start()
        try:
            failures.run()
        finally:
            callers.stop.set()
            for thread in threads:
                thread.join()
        time.sleep(FREEZE_SECONDS)
        finals = wait_for_jobs(deployment, callers.calls, SETTLE_SECONDS)
        log = deployment.execution_log()
        found = list(violations(callers.calls, finals, log))
        print(json.dumps(summary(callers.calls, finals, log, failures)))
        for line in found[:20]:
            print(f"violation: {line}")
        print(json.dumps({"name": "violations", "value": len(found), "unit": "count",
                          "deployment": arguments.deployment, "baseline": None}))
        return 1 if found else 0
    finally:
        deployment.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--deployment", default="cancha-quetzal")
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--seed", type=int, default=20261204)
    try:
        return run(parser.parse_args())
    except Fault as fault:
        print(f"failure run: {fault}")
        return 1


if __name__ == "__main__":
    sys.exit(main())
