"""The only worker with a label crashes right after a start and comes back."""
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
CRASH_AFTER_S = 0.25
DOWN_S = 1.5
FINISH_S = 14
IDLE_S = 3
# The job's wait is watched for this long after `FINISH_S`.
WATCH_S = 20


def config():
    return {"Version": 3,
            "Routes": [{"Name": "r-quotes", "Host": "h.example",
                        "Prefix": QUEUE, "Kind": "unsafe",
                        "TimeoutMs": 3000, "TargetDurationMs": 600,
                        "Priority": 0, "Service": "desk", "MaxAttempts": 4,
                        "Stretch": 1.6}],
            "Services": [{"Name": "desk", "HealthPath": "/health",
                          "MaxConns": 64, "Protocol": "h1", "Tls": False,
                          "EnforcesCapacity": True, "Standby": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


def starts(run):
    return [line for line in run.records()
            if line["what"] == "start" and line["task"] == TASK]


async def play(run, is_disturbed):
    await run.start_platform()
    for number in range(7):
        run.add_worker(f"i-a{number}", "desk", ["a", f"r1-{number // 4}"])
    only = run.add_worker("i-b0", "desk", ["b", "r1-2"])
    await run.put("op/config", config())
    nodes = [run.add_node(f"frontend-{number}", zone)
             for number, zone in ((1, "z-a"), (2, "z-b"))]
    for node in nodes:
        await run.until(node.is_ready, 15, "a node is not ready")
    await asyncio.sleep(3)
    step = {"Count": 1, "Cpu": 3800, "MemMb": 11000, "EstimateMs": 2000,
            "Requires": "b"}
    await run.submit(nodes, QUEUE + JOB,
                     {"Spec": '{"ms": 2000, "cpu": 3800}', "Steps": [step]})
    traffic_ended = time.time()

    async def has_started():
        return bool(starts(run))

    await run.until(has_started, 10, "the task does not start")
    if is_disturbed:
        await asyncio.sleep(CRASH_AFTER_S)
        only.kill()
        await asyncio.sleep(DOWN_S)
        only.start()
    shown = ""
    while time.time() < traffic_ended + FINISH_S + WATCH_S:
        status, value = await run.request(nodes[0], "GET", QUEUE + JOB)
        shown = value.get("State", str(status))
        if shown == "completed":
            return None
        await asyncio.sleep(1)
    # Nothing else was handed in, and the worker of the task's label is up: it
    # has room for the task eight times.
    last = starts(run)[-1]
    back = [line["at"] for line in run.records()
            if line["what"] == "up" and line["worker"] == "i-b0"][-1]
    if last["at"] < back and time.time() - back > IDLE_S:
        return (f"LOST: {FINISH_S + WATCH_S} s after the traffic the job is "
                f"shown as {shown}; its task has not run for "
                f"{time.time() - back:.0f} s, since its worker came back")
    return None


if __name__ == "__main__":
    sys.exit(d.run_case(FOLDER, play))
