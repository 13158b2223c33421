#!/usr/bin/env python3
"""Measures the system with real processes on loopback.

Prints one JSON object a line: name, value, unit, deployment, baseline. The
baseline is the figure of the simple policy or of the direct path in the same
run, where there is one.
"""
import argparse
import http.client
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

import wave_run
from deployment import ROOT, Deployment, Fault

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
LATENCY_SAMPLES = 400


def emit(name, value, unit, deployment, baseline=None):
    print(json.dumps({"name": name, "value": value, "unit": unit,
                      "deployment": deployment, "baseline": baseline}), flush=True)


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def memory_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def store_calls(deployment):
    counts = deployment.control("GET", "/counts")
    return counts["reads"] + counts["writes"]


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def measure_idle(deployment, seconds):
    pids = [m.process.pid for m in deployment.members]
    before = [cpu_seconds(pid) for pid in pids]
    calls = store_calls(deployment)
    start = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - start
    used = [cpu_seconds(pid) - b for pid, b in zip(pids, before)]
    emit("idle_cpu_percent", round(100 * max(used) / elapsed, 2), "%", deployment.name)
    emit("idle_memory_mb", round(max(memory_mb(pid) for pid in pids), 1), "MB",
         deployment.name)
    emit("idle_store_calls_per_s",
         round((store_calls(deployment) - calls) / elapsed, 2), "1/s", deployment.name)


def timed_posts(port, path, bodies, token=None):
    """Median time of one request over a kept connection, in ms."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    headers = {"Content-Type": "application/json"}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    times = []
    for body in bodies:
        text = json.dumps(body)
        start = time.perf_counter()
        connection.request("POST", path, body=text, headers=headers)
        response = connection.getresponse()
        data = response.read()
        times.append((time.perf_counter() - start) * 1000)
        if response.status != 200:
            raise Fault(f"{path}: status {response.status}: {data[:200]}")
    connection.close()
    return times


def measure_latency(deployment):
    worker = deployment.bundle["workers"][0]
    port = int(worker["address"].rsplit(":", 1)[1])
    payload = json.dumps({"sleep_ms": 0, "answer": "latency"})
    size = {"cores": 0, "memory_mb": 0, "accelerators": 0}
    direct = [{"task": f"d{i}", "queue": "latency", "size": size, "payload": payload}
              for i in range(LATENCY_SAMPLES)]
    queue, caller, _ = deployment.queue(1)
    for idempotent, name in ((True, "added_latency_p50_ms"),
                             (False, "added_latency_recorded_p50_ms")):
        routed = [deployment.body(queue, f"l{idempotent}{i}", "latency", "urgent",
                                  idempotent, sleep_ms=0)
                  for i in range(LATENCY_SAMPLES)]
        base = statistics.median(timed_posts(port, "/v1/run", direct))
        through = statistics.median(timed_posts(
            deployment.members[0].caller_port, "/v1/requests", routed,
            token=f"{caller}-token"))
        emit(name, round(through - base, 3), "ms", deployment.name, round(base, 3))


def changed_bundle(deployment, number):
    """A copy of the bundle with another queue bound."""
    bundle = json.loads(deployment.bundle_path.read_text())
    bundle["queues"][0]["max_waiting"] += number
    file = tempfile.NamedTemporaryFile("w", suffix=".json", delete=False)
    json.dump(bundle, file)
    file.close()
    return file.name


def sign_off(deployment, base, number, outage):
    """Signs off one change and returns its version and roll-out time in s."""
    path = changed_bundle(deployment, number + 1)
    try:
        draft = deployment.command("bundle", "draft", path)
        signed = deployment.command("bundle", "sign-off", draft["draft"],
                                    "--base", str(base), token="luis")
        if outage:
            fault = deployment.set_fault("store_down", duration_ms=2500)
        version = signed["version"]
        accepted = signed["signed_off_at_ms"]
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            status = deployment.command("bundle", "status", token="vera")
            rows = status["members"]
            if status["everywhere"] and all(r["version"] == version for r in rows):
                break
            time.sleep(0.05)
        else:
            raise Fault(f"version {version} is not in force everywhere: {status}")
        if outage:
            time.sleep(2.5)
            deployment.clear_fault(fault)
        return version, max(r["adopted_at_ms"] for r in rows) / 1000 - accepted / 1000
    finally:
        os.unlink(path)


def measure_rollout(deployment, version, sign_offs, outages):
    healthy, outage_times = [], []
    before = store_calls(deployment)
    for number in range(sign_offs):
        is_outage = number >= sign_offs - outages
        if number == sign_offs - outages:
            per_change = (store_calls(deployment) - before) / max(1, number)
            emit("store_calls_per_change", round(per_change, 1), "calls",
                 deployment.name)
        version, seconds = sign_off(deployment, version, number, is_outage)
        (outage_times if is_outage else healthy).append(seconds)
    emit("rollout_p50_s", round(quantile(healthy, 0.5), 3), "s", deployment.name)
    emit("rollout_p99_s", round(quantile(healthy, 0.99), 3), "s", deployment.name)
    emit("rollout_outage_p99_s", round(quantile(outage_times, 0.99), 3), "s",
         deployment.name)


def last_summary(lines):
    return [line for line in lines if "start_wait_ms" in line][-1]


def violations_of(lines):
    return [line for line in lines if line.get("kind") == "check"][0]["violations"]


def ratio(part, whole):
    return round(part / whole, 4) if whole else 0.0


def emit_load(deployment, lines, writes, cpu):
    """Figures of one run of the load tool."""
    summary = last_summary(lines)
    urgent = summary["start_wait_ms"]["urgent_requests"]
    calls = summary["calls"]
    refused = sum(summary["refused"].values())
    name = deployment.name
    emit("urgent_start_wait_p50_s", urgent["p50"] / 1000, "s", name)
    emit("urgent_start_wait_p99_s", urgent["p99"] / 1000, "s", name)
    emit("refusal_ratio_at_burst", ratio(refused, calls), "ratio", name)
    emit("store_writes_per_request", ratio(writes, calls), "writes", name)
    emit("cpu_us_per_request", round(1e6 * cpu / calls), "us", name)
    emit("calls", calls, "count", name)
    emit("violations", violations_of(lines), "count", name)


def measure_load(deployment, seconds):
    pids = [m.process.pid for m in deployment.members]
    before = sum(cpu_seconds(pid) for pid in pids)
    writes = deployment.control("GET", "/counts")["writes"]
    load = wave_run.start_load(deployment, seconds, 1)
    out, err = load.communicate(timeout=seconds + 120)
    if load.returncode not in (0, 1):
        raise Fault(f"load tool: {err.strip()[:300]}")
    writes = deployment.control("GET", "/counts")["writes"] - writes
    cpu = sum(cpu_seconds(pid) for pid in pids) - before
    emit_load(deployment, [json.loads(line) for line in out.splitlines()], writes, cpu)


def measure_wave(deployment, seconds):
    taken, watch, lines = wave_run.run_wave(deployment, seconds, 2)
    name = deployment.name
    emit("wave_s", round(taken, 1), "s", name)
    emit("wave_broken_budgets", len(watch.broken), "budgets", name)
    emit("wave_violations", violations_of(lines), "count", name)
    refused = sum(last_summary(lines)["refused"].values())
    emit("wave_refusal_ratio", ratio(refused, last_summary(lines)["calls"]), "ratio",
         name)


def run_tool(build, *words):
    """Runs a C++ benchmark, which prints its own lines."""
    done = subprocess.run([str(pathlib.Path(build) / "pimentograde_load"), *words],
                          capture_output=True, text=True, check=False)
    sys.stdout.write(done.stdout)
    sys.stdout.flush()
    if done.returncode != 0:
        raise Fault(f"{' '.join(words)}: {done.stderr.strip()[:300]}")


def measure_deployment(arguments, name):
    deployment = Deployment(arguments.build, name)
    try:
        deployment.start()
        version = deployment.put_bundle_into_force()
        time.sleep(2)
        measure_idle(deployment, min(10, arguments.seconds / 6))
        measure_latency(deployment)
        sign_offs = 50 if arguments.seconds >= 300 else 15
        measure_rollout(deployment, version, sign_offs, sign_offs // 5)
        measure_load(deployment, 20 if arguments.seconds < 300 else 60)
        measure_wave(deployment, 150)
        deployment.stop()
    finally:
        deployment.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--seconds", type=float, default=300)
    parser.add_argument("--deployment", action="append")
    arguments = parser.parse_args()
    try:
        for name in arguments.deployment or ["cancha-quetzal", "kowhai"]:
            bundle = str(ROOT / "examples" / f"{name}.json")
            run_tool(arguments.build, "capacity", "--bundle", bundle)
            run_tool(arguments.build, "policy", "--bundle", bundle, "--seconds",
                     "600", "--seed", "20261204")
            measure_deployment(arguments, name)
        run_tool(arguments.build, "records", "--bundle", bundle)
    except Fault as fault:
        print(f"measure: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
