#!/usr/bin/env python3
"""Switches off one mechanism after another and plays days without it.

    tools/ablation.py --bench FLEETBENCH --work DIR --seeds 1-2 SITE.toml ...

Copies the tracked files once for each mechanism into DIR, changes the copy,
builds it with the bench and plays the days of each site. Prints for each
mechanism the mean worth without it, the difference to the unchanged copy over
the same days and seeds, and the standard error of that difference. The figures
are trials; the bench's journal entries stay in DIR/NAME/journal.
"""

import argparse
import concurrent.futures
import json
import pathlib
import shutil
import statistics
import subprocess

TROUBLE_DAYS = ["trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3"]

# Name, file, text and its replacement. The text must occur exactly once.
MECHANISMS = [
    ("moves on demand", "src/fleet/move_policy.cpp",
     "    plan_demand_moves(balances, limits, moves);\n", ""),
    ("idle machines before a shortage", "src/fleet/move_policy.cpp",
     "min_load_for_idle = 0.4", "min_load_for_idle = 1.0"),
    ("draining lightly used machines", "src/fleet/move_policy.cpp",
     "giver = best_pool_to_drain(balances, limits.cores_per_machine);",
     "giver = nullptr;"),
    ("moves to standby", "src/fleet/move_policy.cpp",
     "    plan_standby_moves(balances, limits, moves);\n", ""),
    ("records of machine orders", "src/fleet/recent_orders.hpp",
     "!is_readable_ || inherited_.contains(machine)",
     "!is_readable_ || !inherited_.empty()"),
    ("hand-over of runs", "src/jobs/pool_roster.cpp",
     "    if (!entry.runs)\n        return;\n", "    if (true)\n        return;\n"),
    ("learned run times", "src/jobs/run_time_model.cpp",
     "    constexpr double decay = 1.0", "    if (ratio < 100.0)\n        return;\n"
     "    constexpr double decay = 1.0"),
    ("kept statistics", "src/pools/pool_owner.cpp",
     "    state.restore_statistics(std::move(stored->statistics));\n", ""),
    ("quarantine of failing workers", "src/jobs/worker_view.cpp",
     "    if (is_quarantined(now))\n        return;\n", "    if (true)\n        return;\n"),
    ("jobs in time first", "src/jobs/ordering.cpp",
     "    if (can_meet_objective != other.can_meet_objective)\n"
     "        return can_meet_objective;\n", ""),
    ("peak size in admission", "src/jobs/pool_state.cpp",
     "        return peak_cores_;\n", "        return cores;\n"),
    ("short calls to a silent store", "src/platform/answer_watch.cpp",
     "unanswered_ % calls_per_full_timeout == 0", "unanswered_ >= 0"),
    ("silent owners", "src/node/peer_liveness.cpp",
     "    if (!is_silent(now))\n", "    if (calls_ >= 0)\n"),
    ("long-running tasks avoid the wave", "src/jobs/placement.cpp",
     "request.step->is_long_running && worker->is_leaving_soon",
     "request.step->is_long_running && false"),
    ("resuming own roles", "src/node/claim_order.cpp",
     "    if (is_resumed)\n", "    if (false && is_resumed)\n"),
]


def copy_tree(target):
    if target.exists():
        shutil.rmtree(target)
    names = subprocess.run(["git", "ls-files", "--", ":!journal"], check=True,
                           capture_output=True, text=True).stdout.split()
    for name in names:
        (target / name).parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(name, target / name)
    (target / "journal").mkdir()
    subprocess.run("git init -q && git add -A && git -c user.name=trial"
                   " -c user.email=trial@example.org commit -qm trial",
                   shell=True, check=True, cwd=target)


def change(target, path, old, new):
    text = (target / path).read_text()
    if text.count(old) != 1:
        raise SystemExit(f"{path}: the text to change occurs "
                         f"{text.count(old)} times")
    (target / path).write_text(text.replace(old, new))


def play(bench, target, site, day, seed):
    """Returns the worth before it is cut, and the broken rules."""
    report = target / f"report-{site.stem}-{day}-{seed}.json"
    subprocess.run([bench, "run", site, day, "--no-cpu", "--seed", str(seed),
                    "--report", report, "--why", f"trial: without {target.name}"],
                   cwd=target, stdout=subprocess.DEVNULL,
                   stderr=subprocess.DEVNULL, check=False)
    result = json.loads(report.read_text())
    worth = sum(part[1] * part[2] for part in result["parts"])
    worth -= sum(price[2] for price in result["prices"])
    return worth, result["breaks"]


def play_all(arguments, target, site):
    first, last = (arguments.seeds.split("-") * 2)[:2]
    plays = [(day, seed) for day in arguments.days.split(",")
             for seed in range(int(first), int(last) + 1)]
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        results = pool.map(
            lambda one: play(arguments.bench, target, site, *one), plays)
    return list(results)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("sites", nargs="+", type=pathlib.Path)
    parser.add_argument("--bench", required=True, type=pathlib.Path)
    parser.add_argument("--work", required=True, type=pathlib.Path)
    parser.add_argument("--seeds", default="1-2")
    parser.add_argument("--days", default=",".join(TROUBLE_DAYS))
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--only", help="part of a mechanism's name")
    arguments = parser.parse_args()
    arguments.bench = arguments.bench.resolve()
    sites = [site.resolve() for site in arguments.sites]
    base = {}
    print("| without | site | mean worth | difference | standard error |"
          " rules broken |\n|---|---|---|---|---|---|")
    for name, *patch in [("nothing", None, None, None)] + MECHANISMS:
        if arguments.only and patch[0] and arguments.only not in name:
            continue
        target = arguments.work.resolve() / name.replace(" ", "-")
        copy_tree(target)
        if patch[0]:
            change(target, *patch)
        subprocess.run([arguments.bench, "build"], cwd=target, check=True,
                       stdout=subprocess.DEVNULL)
        for site in sites:
            results = play_all(arguments, target, site)
            worth = [result[0] for result in results]
            base.setdefault(site, worth)
            steps = [a - b for a, b in zip(worth, base[site])]
            error = statistics.stdev(steps) / len(steps) ** 0.5
            broken = {rule for result in results for rule in result[1]}
            print(f"| {name} | {site.stem} | {statistics.mean(worth):.3f} |"
                  f" {statistics.mean(steps):+.3f} | {error:.3f} |"
                  f" {', '.join(sorted(broken)) or '-'} |", flush=True)


if __name__ == "__main__":
    main()
