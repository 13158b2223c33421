#!/usr/bin/env python3
"""Measures how the cost of control grows with the number of members.

Starts an idle deployment with each number of entry instances and prints, one
JSON object a line, processor time, memory and sent bytes of a member and the
store calls of all members. docs/CAPACITY.md extrapolates from these.
"""
import argparse
import json
import re
import subprocess
import time

from deployment import Deployment
from measure import cpu_seconds, memory_mb


def sent_bytes(pid):
    """Bytes sent on the TCP connections of a process that still exist."""
    out = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True,
                         check=True).stdout
    total = 0
    lines = out.splitlines()
    for line, details in zip(lines, lines[1:]):
        if f"pid={pid}," in line:
            found = re.search(r"bytes_sent:(\d+)", details)
            total += int(found.group(1)) if found else 0
    return total


def measure(build, name, members, seconds):
    deployment = Deployment(build, name, members)
    try:
        deployment.start()
        deployment.put_bundle_into_force()
        time.sleep(4)
        pids = [m.process.pid for m in deployment.members]
        cpu = [cpu_seconds(pid) for pid in pids]
        sent = [sent_bytes(pid) for pid in pids]
        counts = deployment.control("GET", "/counts")
        start = time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - start
        after = deployment.control("GET", "/counts")
        used = [cpu_seconds(pid) - c for pid, c in zip(pids, cpu)]
        moved = [max(0, sent_bytes(pid) - s) for pid, s in zip(pids, sent)]
        return {
            "members": members,
            "cpu_percent_mean": round(100 * sum(used) / len(used) / elapsed, 2),
            "cpu_percent_max": round(100 * max(used) / elapsed, 2),
            "memory_mb_max": round(max(memory_mb(pid) for pid in pids), 1),
            "sent_kb_per_s_mean": round(sum(moved) / len(moved) / elapsed / 1000, 2),
            "sent_kb_per_s_max": round(max(moved) / elapsed / 1000, 2),
            "store_reads_per_s": round((after["reads"] - counts["reads"]) / elapsed, 1),
            "store_writes_per_s": round(
                (after["writes"] - counts["writes"]) / elapsed, 1),
        }
    finally:
        deployment.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--deployment", default="cancha-quetzal")
    parser.add_argument("--seconds", type=float, default=15)
    arguments = parser.parse_args()
    for members in (3, 6, 9, 12):
        print(json.dumps(measure(arguments.build, arguments.deployment, members,
                                 arguments.seconds)), flush=True)


if __name__ == "__main__":
    main()
