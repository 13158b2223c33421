"""A new version sends a queue to another service; later the instances are
stopped and started in turn."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
import deployment as d  # noqa: E402

QUEUE = "/quotes/"
JOB = "5c0e7a21d94b36f8"
TASK = JOB + ".0.0.0"
GAP_S = 2.0


def config(version, service):
    return {"Version": version,
            "Routes": [{"Name": "r-quotes", "Host": "h.example",
                        "Prefix": QUEUE, "Kind": "unsafe",
                        "TimeoutMs": 3000, "TargetDurationMs": 600,
                        "Priority": 0, "Service": service, "MaxAttempts": 2,
                        "Stretch": 1.6}],
            "Services": [{"Name": name, "HealthPath": "/health",
                          "MaxConns": 64, "Protocol": "h1", "Tls": False,
                          "EnforcesCapacity": True, "Standby": False}
                         for name in ("desk", "office")],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


async def play(run, is_disturbed):
    await run.start_platform()
    for number in range(3):
        run.add_worker(f"i-desk{number}", "desk")
        run.add_worker(f"i-office{number}", "office")
    await run.put("op/config", config(3, "desk"))
    nodes = [run.add_node(f"frontend-{number}", zone)
             for number, zone in ((1, "z-a"), (2, "z-b"), (3, "z-c"))]
    for node in nodes:
        await run.until(node.is_ready, 15, "a node is not ready")
    await asyncio.sleep(2)
    step = {"Count": 1, "Cpu": 1000, "MemMb": 256, "EstimateMs": 60000}
    job = {"Spec": '{"ms": 60000, "cpu": 1000}', "Steps": [step]}
    await run.submit(nodes, QUEUE + JOB, job)
    await asyncio.sleep(5)
    if is_disturbed:
        await run.put("op/config", config(7, "office"))
    await asyncio.sleep(5)
    for node in nodes:
        await node.stop()
        await asyncio.sleep(0.2)
        node.start()
        await run.until(node.is_ready, 15, "a node is not ready")
        await asyncio.sleep(GAP_S)
    # Later than ContactMs after the last restart.
    await asyncio.sleep(4)
    shown = set()
    end = time.monotonic() + 8
    while time.monotonic() < end:
        for node in nodes:
            status, value = await run.request(node, "GET", QUEUE + JOB)
            shown.add(value.get("State", str(status)) if status == 200
                      else str(status))
        await asyncio.sleep(1)
    # Not judged here, only recorded: what the same request does now.
    await run.request(nodes[0], "POST", QUEUE + JOB, job)
    await asyncio.sleep(3)
    begun = [line for line in run.records()
             if line["what"] == "start" and line["task"] == TASK]
    ended = [line for line in run.records()
             if line["what"] == "end" and line["task"] == TASK]
    run.note("runs of the task after the request came again",
             starts=[(line["worker"], line["run"]) for line in begun],
             ends=[(line["worker"], line["run"], line["how"])
                   for line in ended])
    if "410" in shown:
        return ("LOST: a GET for the accepted job, which nobody has "
                f"cancelled, is answered 410 (answers: {sorted(shown)})")
    return None


if __name__ == "__main__":
    sys.exit(d.run_case(FOLDER, play))
