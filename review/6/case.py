"""A job runs twice after its queue has moved to another service."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import standin  # noqa: E402

JOB = "5c0e7a21d94b36f8"
BODY = {"Spec": "quote", "Steps": [
    {"Count": 1, "Cpu": 1800, "MemMb": 512, "EstimateMs": 640}]}
TASK_S = 0.64
CUT_S = 5.5  # lcq-sched.toml: core_cut, count = 1, for_s = 5.5
RESTART_S = 0.5
SERVICES = ["office-a", "office-b"]


def routes(quote, layout):
    return [{"Name": "quote", "Prefix": "/quote/", "Service": quote},
            {"Name": "layout", "Prefix": "/layout/", "Service": layout}]


def case(platform, with_trouble):
    platform.configure(3, routes("office-a", "office-b"), SERVICES)
    for service in SERVICES:
        platform.add_workers(service, 4, lambda task: TASK_S)
    ways = [standin.Relay(platform.store.address) for _ in range(4)]
    platform.add_instances(4, {n: way.address for n, way in enumerate(ways)})
    standin.wait_for_service(platform, SERVICES)
    old_owner = platform.owner("office-a")
    new_owner = platform.owner("office-b")
    others = [one for one in platform.instances if one not in (old_owner, new_owner)]
    cut_off, taker = others[0], others[1]
    platform.log.write(f"owner of office-a: {old_owner.name}, "
                       f"of office-b: {new_owner.name}")

    begin = time.monotonic()
    way = ways[platform.instances.index(cut_off)]
    if with_trouble:
        way.is_cut = True
        platform.log.write(f"{cut_off.name} is cut off from the store")
    platform.configure(7, routes("office-b", "office-a"), SERVICES)
    time.sleep(0.7)
    status, _ = taker.call("POST", "/quote/" + JOB, BODY)
    if status != 200:
        raise RuntimeError("the first attempt was not accepted")
    if with_trouble:
        old_owner.kill()
        time.sleep(RESTART_S)
        old_owner.start()
    platform.wait(lambda: old_owner.is_ready() and old_owner.owns("office-a"),
                  10, "the killed instance owns its pool again")
    time.sleep(1.0)
    # The same request once more, seconds after the 2xx response.
    cut_off.call("POST", "/quote/" + JOB, BODY)
    time.sleep(max(0.0, begin + CUT_S - time.monotonic()))
    if with_trouble:
        way.is_cut = False
        platform.log.write(f"{cut_off.name} reaches the store again")
    time.sleep(6)
    taker.call("GET", "/quote/" + JOB)
    runs = platform.runs_of(JOB)
    if not any(run["how"] == "done" for run in runs):
        raise RuntimeError("the job did not run at all")
    found = standin.find_twice(runs)
    for first, second, how in found:
        platform.log.write(f"TWICE: {second['task']} started on {second['worker']} "
                           f"({second['service']}), though it ran on "
                           f"{first['worker']} ({first['service']}): {how}")
    return not found


standin.run_case(case, os.path.join(HERE, "record.txt"))
