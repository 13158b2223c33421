#!/usr/bin/env python3
"""Runs a whole deployment on loopback and checks every answer.

Starts the platform's test double and the entry instances as separate
processes, puts an example bundle into force, sends requests and jobs through
all entry instances while one of them is replaced, and stops everything
gracefully. Prints one line `demo: ok ...`, or a line that says what failed
and exits with 1.
"""
import argparse
import sys
import threading
import time

from deployment import Deployment, Fault

TRAFFIC_SECONDS = 8
JOBS = 40


class Traffic:
    """Sends requests from several threads and checks the answers."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.requests = 0
        self.once_only = set()
        self.faults = []
        self.stop = threading.Event()
        self.lock = threading.Lock()

    def run_thread(self, number):
        sequence = 0
        while not self.stop.is_set():
            self.send_one(f"t{number}-{sequence}", number + sequence)
            sequence += 1
            time.sleep(0.05)

    def send_one(self, key, index):
        queue, caller, priority = self.deployment.queue(index)
        idempotent = index % 3 != 0
        marker = f"answer-{key}"
        result = self.deployment.request(
            caller, queue, key, marker, priority, idempotent, index
        )
        with self.lock:
            self.requests += 1
            if not idempotent:
                self.once_only.add(marker)
            if result.get("status") != "done":
                self.faults.append(f"request {key}: {result}")
            elif marker not in result["answer"]:
                self.faults.append(f"request {key}: foreign answer {result}")


def run_jobs(deployment):
    """Submits jobs through all entry instances and waits for their ends."""
    pending = {}
    for index in range(JOBS):
        queue, caller, _ = deployment.queue(index)
        marker = f"answer-job-{index}"
        result = deployment.submit_job(caller, queue, f"job-{index}", marker, index)
        if result.get("status") != "accepted":
            raise Fault(f"job {index} was not accepted: {result}")
        pending[result["job"]] = (caller, marker)
    deadline = time.monotonic() + 30
    while pending and time.monotonic() < deadline:
        for job, (caller, marker) in list(pending.items()):
            result = deployment.job_state(caller, job)
            if result.get("status") == "done" and marker in result["answer"]:
                del pending[job]
            elif result.get("status") in ("failed", "not_run"):
                raise Fault(f"job {job} ended otherwise than done: {result}")
        time.sleep(0.1)
    if pending:
        raise Fault(f"{len(pending)} jobs have not ended, for example {next(iter(pending))}")


def check_repeat(deployment):
    """The same key through another entry instance gives the same answer."""
    queue, caller, priority = deployment.queue(0)
    issued = int(time.time() * 1000)
    answers = {
        deployment.request(
            caller, queue, "repeat", "answer-repeat", priority, False, index, issued
        ).get("answer")
        for index in range(3)
    }
    if len(answers) != 1 or None in answers:
        raise Fault(f"a repeated key gave different answers: {answers}")


def check_at_most_once(deployment, once_only):
    """No task of a non-idempotent request or job started more than once."""
    starts = {}
    for entry in deployment.execution_log():
        starts[entry["token"]] = starts.get(entry["token"], 0) + 1
    for marker in once_only:
        if starts.get(marker, 0) != 1:
            raise Fault(f"{marker} started {starts.get(marker, 0)} times")


def run(arguments):
    started = time.monotonic()
    deployment = Deployment(arguments.build, arguments.deployment)
    try:
        deployment.start()
        version = deployment.put_bundle_into_force()
        traffic = Traffic(deployment)
        threads = [
            threading.Thread(target=traffic.run_thread, args=(number,))
            for number in range(8)
        ]
        for thread in threads:
            thread.start()
        try:
            time.sleep(TRAFFIC_SECONDS / 4)
            deployment.replace_member(2)
            run_jobs(deployment)
            check_repeat(deployment)
            time.sleep(TRAFFIC_SECONDS / 4)
        finally:
            traffic.stop.set()
            for thread in threads:
                thread.join()
        if traffic.faults:
            raise Fault(f"{len(traffic.faults)} faults, first: {traffic.faults[0]}")
        once_only = traffic.once_only | {"answer-repeat"}
        once_only |= {f"answer-job-{index}" for index in range(JOBS)}
        check_at_most_once(deployment, once_only)
        deployment.stop()
    finally:
        deployment.kill()
    seconds = time.monotonic() - started
    print(
        f"demo: ok requests={traffic.requests} jobs={JOBS} "
        f"bundle={version} seconds={seconds:.1f}"
    )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--deployment", default="cancha-quetzal")
    try:
        run(parser.parse_args())
    except Fault as fault:
        print(f"demo: failed: {fault}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
