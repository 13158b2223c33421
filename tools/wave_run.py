"""A full maintenance wave with real processes: bursts of requests and the loss
of one rack in the middle. Used by the measurements."""
import json
import subprocess
import threading
import time

from deployment import Fault

RACK_LOST_SECONDS = 8


def start_load(deployment, seconds, seed):
    """Starts the load tool, which also checks the answers at the end."""
    entries = ",".join(f"127.0.0.1:{m.caller_port}" for m in deployment.members)
    return subprocess.Popen(
        [str(deployment.build / "pimentograde_load"), "--entry", entries,
         "--bundle", str(deployment.bundle_path),
         "--control", f"127.0.0.1:{deployment.ports.control}", "--seconds", str(seconds),
         "--seed", str(seed), "--interval-seconds", "1000"],
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
    )


def lose_rack(deployment):
    """Kills all workers of the first worker's rack for some seconds."""
    rack = deployment.bundle["workers"][0]["rack"]
    for worker in deployment.bundle["workers"]:
        if worker["rack"] == rack:
            deployment.set_fault("worker_kill", worker=worker["id"],
                                 duration_ms=RACK_LOST_SECONDS * 1000)


class BudgetWatch(threading.Thread):
    """Compares the serving workers of each pool with the budgets."""

    def __init__(self, deployment):
        super().__init__()
        self.deployment = deployment
        self.broken = set()
        self.lowest = {}
        self.stop = threading.Event()

    def run(self):
        while not self.stop.wait(0.3):
            try:
                rows = self.deployment.command("instance", "list", token="vera")
            except (Fault, ValueError):
                continue
            serving = {}
            for row in rows:
                if row["state"] == "serving":
                    serving[row["pool"]] = serving.get(row["pool"], 0) + 1
            for budget in self.deployment.bundle["budgets"]:
                count = serving.get(budget["pool"], 0)
                low = self.lowest.get(budget["pool"], count)
                self.lowest[budget["pool"]] = min(low, count)
                if count < budget["min_workers"]:
                    self.broken.add((budget["department"], budget["pool"]))


def wait_for_wave(deployment, seconds, started):
    """Waits until no wave runs; loses a rack when a quarter is done."""
    lost = False
    last = None
    while time.monotonic() - started < seconds:
        last = deployment.command("wave", "status", token="vera")
        done = sum(w["done"] for w in last["waves"])
        if not lost and done >= len(deployment.bundle["workers"]) / 4:
            lose_rack(deployment)
            lost = True
        if lost and last["idle"]:
            return time.monotonic() - started
        time.sleep(0.5)
    raise Fault(f"the wave has not ended in {seconds} s: {json.dumps(last)}")


def run_wave(deployment, seconds, seed):
    """Returns seconds of the wave, broken budgets and the load tool's lines."""
    load = start_load(deployment, seconds, seed)
    watch = BudgetWatch(deployment)
    watch.start()
    started = time.monotonic()
    try:
        for wave in deployment.bundle["waves"]:
            deployment.command("wave", "start", wave["name"])
        taken = wait_for_wave(deployment, seconds, started)
    finally:
        watch.stop.set()
        watch.join()
    out, err = load.communicate(timeout=seconds + 120)
    if load.returncode not in (0, 1):
        raise Fault(f"load tool: {err.strip()[:300]}")
    return taken, watch, [json.loads(line) for line in out.splitlines()]
