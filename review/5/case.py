"""A worker is lost for good; gangs that need as many workers wait."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
import deployment as d  # noqa: E402

QUEUE = "/quotes/"
JOBS = [f"5c0e7a21d94b36{number:02x}" for number in range(2)]
VISIBLE_S = 3.0
AGE_S = 2.0
ROUNDS = 5


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


def begun(run):
    return {line["task"].split(".")[0] for line in run.records()
            if line["what"] == "start"}


async def play(run, is_disturbed):
    await run.start_platform()
    for number in range(3):
        run.add_worker(f"i-{number}", "desk", ["a", f"r1-{number}"])
    await run.put("op/config", config())
    nodes = [run.add_node(f"frontend-{number}", zone)
             for number, zone in ((1, "z-a"), (2, "z-b"), (3, "z-c"))]
    for node in nodes:
        await run.until(node.is_ready, 15, "a node is not ready")
    await asyncio.sleep(3)
    if is_disturbed:
        run.workers["i-2"].kill()
    # Its entry is gone, and all machines are in touch.
    await asyncio.sleep(12)
    step = {"Count": 3, "Cpu": 20000, "MemMb": 11000, "EstimateMs": 2000,
            "Gang": True}
    accepted_at = {}
    for job in JOBS:
        await run.submit(nodes, QUEUE + job,
                         {"Spec": '{"ms": 2000, "cpu": 20000}',
                          "Steps": [step]})
        accepted_at[job] = time.time()
    await asyncio.sleep(VISIBLE_S + AGE_S + 1.0)
    wrong = []
    for _ in range(ROUNDS):
        for node in nodes:
            asked_at = time.time()
            status, value = await run.request(node, "GET", QUEUE)
            # Jobs that had begun when the answer came are not counted.
            waiting = [job for job, at in accepted_at.items()
                       if asked_at - at > VISIBLE_S + AGE_S and
                       job not in begun(run)]
            if status == 200 and value["Pending"] < len(waiting) / 2:
                wrong.append((node.name, value["Pending"], len(waiting)))
        await asyncio.sleep(0.5)
    if wrong:
        node, given, waiting = wrong[0]
        return (f"MIXED: {node} gives {given} as Pending while {waiting} "
                "accepted jobs have not begun; "
                f"{len(wrong)} of {ROUNDS * len(nodes)} answers are so")
    return None


if __name__ == "__main__":
    sys.exit(d.run_case(FOLDER, play))
