"""Starts and drives a deployment of separate processes on loopback.

Used by the demo, the failure run and the measurements. All ports are on
127.0.0.1; each process is ended by its own handle.
"""
import hashlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import threading
import time

import port_range

ROOT = pathlib.Path(__file__).resolve().parent.parent
PEER_SECRET = "loopback-peer-secret-0123456789"
STOP_SECONDS = 20

# Queue, caller and priority, by deployment.
QUEUES = {
    "cancha-quetzal": [
        ("quotes", "treasurers", "urgent"),
        ("glare-reports", "club-managers", "urgent"),
        ("beam-layouts", "installers", "urgent"),
        ("fixture-surveys", "surveyors", "batch"),
    ],
    "kowhai": [
        ("parent-orders", "parents", "urgent"),
        ("proofs", "parents", "urgent"),
        ("composites", "editors", "urgent"),
        ("archive-batches", "lab", "batch"),
        ("retake-bookings", "school-offices", "urgent"),
    ],
}
MEMBERS = {"cancha-quetzal": 7, "kowhai": 9}


class Fault(Exception):
    """What went wrong, in one line."""


def token_digest(name):
    return hashlib.sha256(f"{name}-token".encode()).hexdigest()


def http_json(port, method, path, body=None, token=None, timeout=30):
    """Sends one request and returns status and parsed body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        headers = {"Content-Type": "application/json"}
        if token:
            headers["Authorization"] = f"Bearer {token}"
        text = None if body is None else json.dumps(body)
        connection.request(method, path, body=text, headers=headers)
        response = connection.getresponse()
        data = response.read()
        return response.status, json.loads(data) if data else None
    finally:
        connection.close()


class Member:
    """One entry instance."""

    def __init__(self, deployment, name, index):
        self.name = name
        self.deployment = deployment
        base = deployment.ports.member(index)
        self.index = index
        self.caller_port = base
        self.operator_port = base + 1
        self.peer_port = base + 2
        self.process = None

    def start(self):
        zones = self.deployment.bundle["zones"]
        zone = zones[self.index % len(zones)]
        environment = dict(os.environ, PIMENTOGRADE_PEER_SECRET=PEER_SECRET)
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [
                str(self.deployment.build / "pimentograde"), "serve",
                "--id", self.name, "--zone", zone,
                "--caller-listen", f"127.0.0.1:{self.caller_port}",
                "--operator-listen", f"127.0.0.1:{self.operator_port}",
                "--peer-listen", f"127.0.0.1:{self.peer_port}",
                "--store", f"127.0.0.1:{self.deployment.ports.store}",
                "--instance-list", f"127.0.0.1:{self.deployment.ports.list}",
                "--bootstrap-operators",
                f"ana:author:{token_digest('ana')},"
                f"luis:reviewer:{token_digest('luis')}",
            ],
            env=environment, stdout=log, stderr=log,
        )
        log.close()

    def is_alive(self):
        return self.process is not None and self.process.poll() is None

    def wait_healthy(self, path="/healthz", seconds=10):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if not self.is_alive():
                raise Fault(f"{self.name} ended with {self.process.returncode}")
            try:
                if http_json(self.caller_port, "GET", path, timeout=2)[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.02)
        raise Fault(f"{self.name} did not answer {path} within {seconds} s")

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        """Stops gracefully; a status other than 0 is a fault."""
        self.signal(signal.SIGTERM)
        try:
            status = self.process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            raise Fault(f"{self.name} did not stop within {STOP_SECONDS} s") from None
        if status != 0:
            raise Fault(f"{self.name} stopped with status {status}")

    def kill(self):
        if self.is_alive():
            self.process.kill()
            self.process.wait()


class Deployment:
    """The test double of the platform and the entry instances."""

    def __init__(self, build, name, members=None):
        self.build = pathlib.Path(build).resolve()
        self.name = name
        self.ports = port_range.of_this_process()
        self.folder = self.build / "run" / f"{name}-{self.ports.first}"
        self.folder.mkdir(parents=True, exist_ok=True)
        for old in self.folder.glob("*.log"):
            old.unlink()
        self.bundle = json.loads((ROOT / "examples" / f"{name}.json").read_text())
        for index, worker in enumerate(self.bundle["workers"]):
            worker["address"] = f"127.0.0.1:{self.ports.worker(index)}"
        self.bundle_path = self.folder / "bundle.json"
        self.bundle_path.write_text(json.dumps(self.bundle))
        count = members or MEMBERS[name]
        self.members = [Member(self, f"e{i + 1}", i) for i in range(count)]
        self.next_index = count
        self.standin = None
        self.lock = threading.Lock()

    def start(self):
        self.start_standin()
        for member in self.members:
            member.start()
        for member in self.members:
            member.wait_healthy()

    def start_standin(self):
        log = open(self.folder / "standin.log", "ab")
        self.standin = subprocess.Popen(
            [
                str(self.build / "pimentograde_standin"),
                "--bundle", str(self.bundle_path),
                "--store-port", str(self.ports.store),
                "--list-port", str(self.ports.list),
                "--control-port", str(self.ports.control),
            ],
            stdout=log, stderr=log,
        )
        log.close()
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            if self.standin.poll() is not None:
                raise Fault(f"the test double ended with {self.standin.returncode}")
            try:
                self.control("GET", "/counts")
                return
            except OSError:
                time.sleep(0.02)
        raise Fault("the test double did not start within 10 s")

    def control(self, method, path, body=None):
        status, answer = http_json(self.ports.control, method, path, body)
        if status != 200:
            raise Fault(f"control {path}: status {status}: {answer}")
        return answer

    def command(self, *words, token="ana", member=0, check=True, timeout_ms=20000):
        """Runs an operator command with -j and returns its JSON."""
        environment = dict(os.environ, PIMENTOGRADE_TOKEN=f"{token}-token")
        endpoint = f"127.0.0.1:{self.members[member].operator_port}"
        done = subprocess.run(
            [str(self.build / "pimentograde"), *words, "-j",
             "--endpoint", endpoint, "--timeout-ms", str(timeout_ms)],
            env=environment, capture_output=True, text=True, check=False,
        )
        if check and done.returncode != 0:
            raise Fault(f"{' '.join(words)}: {done.stderr.strip()}")
        lines = done.stdout.strip().splitlines()
        return json.loads(lines[-1]) if lines else None

    def put_bundle_into_force(self, path=None, base=0):
        """Drafts, signs off and waits; returns the version."""
        draft = self.command("bundle", "draft", str(path or self.bundle_path))
        signed = self.command(
            "bundle", "sign-off", draft["draft"], "--base", str(base), token="luis"
        )
        self.command("bundle", "status", "--wait", token="vera")
        for member in self.members:
            member.wait_healthy("/readyz")
        return signed["version"]

    def queue(self, index):
        choices = QUEUES[self.name]
        return choices[index % len(choices)]

    def ready_members(self):
        with self.lock:
            return list(self.members)

    def body(self, queue, key, marker, priority, idempotent, issued=None, sleep_ms=20):
        return {
            "queue": queue, "priority": priority, "idempotent": idempotent,
            "key": key, "issued_at_ms": issued or int(time.time() * 1000),
            "deadline_ms": 10000,
            "payload": json.dumps({"sleep_ms": sleep_ms, "answer": marker}),
        }

    def request(self, caller, queue, key, marker, priority, idempotent, index,
                issued=None, sleep_ms=20):
        """Sends a request to the entry instance `index` modulo their number.

        A connection that is refused or closed before an answer is retried
        with the same key through the next one, as a caller would do.
        """
        body = self.body(queue, key, marker, priority, idempotent, issued, sleep_ms)
        last = None
        for attempt in range(4):
            members = self.ready_members()
            member = members[(index + attempt) % len(members)]
            try:
                _, answer = http_json(
                    member.caller_port, "POST", "/v1/requests", body,
                    token=f"{caller}-token",
                )
            except (OSError, http.client.HTTPException) as failure:
                last = {"status": "no_answer", "reason": str(failure)}
                continue
            if answer.get("reason") == "not_ready":
                last = answer
                continue
            return answer
        return last

    def submit_job(self, caller, queue, key, marker, index):
        body = self.body(queue, key, marker, "batch", False)
        members = self.ready_members()
        member = members[index % len(members)]
        return http_json(member.caller_port, "POST", "/v1/jobs", body,
                         token=f"{caller}-token")[1]

    def job_state(self, caller, job, index=0):
        members = self.ready_members()
        return http_json(members[index % len(members)].caller_port, "GET",
                         f"/v1/jobs/{job}", token=f"{caller}-token")[1]

    def replace_member(self, position):
        """Stops one entry instance gracefully and starts another."""
        with self.lock:
            old = self.members[position]
            new = Member(self, f"e{self.next_index + 1}", self.next_index)
            self.next_index += 1
        new.start()
        new.wait_healthy("/readyz")
        with self.lock:
            self.members[position] = new
        old.stop()

    def execution_log(self):
        """All starts of tasks on the workers, in order."""
        entries = []
        while True:
            page = self.control("GET", f"/log?from={len(entries)}")
            entries += page["entries"]
            if len(entries) >= page["total"]:
                return entries

    def set_fault(self, kind, **details):
        return self.control("POST", "/faults", dict(kind=kind, **details))["id"]

    def clear_fault(self, fault):
        self.control("DELETE", f"/faults/{fault}")

    def stop(self):
        for member in self.members:
            member.stop()

    def kill(self):
        for member in self.members:
            member.kill()
        if self.standin is not None and self.standin.poll() is None:
            self.standin.terminate()
            self.standin.wait()
