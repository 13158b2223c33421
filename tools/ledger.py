#!/usr/bin/env python3
"""Where the worth of a bench day is lost.

    tools/ledger.py REPORT.json ... [--log PLAY.log] [--plot FILE.png]

Reads reports that `fleetbench run --report` wrote. The first table adds up to
1: worth, what each part of the benefit lacks, and the prices. The second and
third show the classes and the two-second windows that lack most. With the
output of `--log all`, the refusals by reason and the time that each pool was
without an owner follow. The plot needs python3-matplotlib.
"""

import argparse
import collections
import json
import re

LOG_LINE = re.compile(r"^\s*(-?\d+\.\d+) (\S+) (\{.*\})\s*$")
SMALLEST_ROW = 0.003


def worth_rows(report):
    """Rows of (name, value) that add up to 1."""
    lacks = [(f"lacking: {name}", weight * (1.0 - value))
             for name, weight, value in report["parts"]]
    prices = [(f"price: {name}", value) for name, _, value in report["prices"]]
    worth = 1.0 - sum(value for _, value in lacks + prices)
    large = [row for row in prices if row[1] >= SMALLEST_ROW]
    rest = sum(value for _, value in prices if value < SMALLEST_ROW)
    return ([("worth", worth)] + lacks
            + sorted(large, key=lambda row: -row[1]) + [("price: others", rest)])


def mean_rows(reports):
    totals = collections.defaultdict(float)
    for report in reports:
        for name, value in worth_rows(report):
            totals[name] += value / len(reports)
    return list(totals.items())


def print_classes(reports):
    print("\n| class | requests | in time | late | refused | failed |\n"
          "|---|---|---|---|---|---|")
    totals = collections.defaultdict(collections.Counter)
    for report in reports:
        for row in report["classes"]:
            for field in ("n", "in_aim", "late", "refused", "failed"):
                totals[row["name"]][field] += row[field]
    for name, row in sorted(totals.items(),
                            key=lambda item: item[1]["in_aim"] - item[1]["n"]):
        print(f"| {name} | {row['n']} | {row['in_aim']} | {row['late']} |"
              f" {row['refused']} | {row['failed']} |")


def lost_by_window(reports):
    lost = collections.Counter()
    for report in reports:
        for row in report["windows"]:
            lost[int(float(row["name"]))] += row["n"] * (1.0 - row["worth"])
    return lost


def print_windows(lost):
    print("\n| from second | share of what the windows lack |\n|---|---|")
    total = sum(lost.values()) or 1.0
    for second, value in lost.most_common(6):
        print(f"| {second} | {value / total:.2f} |")


def read_log(path):
    with open(path, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            found = LOG_LINE.match(line)
            if not found:
                continue
            try:
                yield float(found[1]), json.loads(found[3])
            except json.JSONDecodeError:
                continue


def print_causes(path):
    refusals = collections.Counter()
    free_since, away = {}, collections.Counter()
    owned = {}
    for at, entry in read_log(path):
        event = entry["event"]
        if event == "PG-3204" and entry["outcome"] != "accepted":
            refusals[f"{entry['outcome']}: {entry['reason']}"] += 1
        elif event in ("PG-3202", "PG-3212"):
            free_since.setdefault(entry["pool"], at)
        elif event == "PG-3302":
            for pool, process in owned.items():
                if process == entry["process"]:
                    free_since.setdefault(pool, at)
        elif event == "PG-3201":
            pool = entry["pool"]
            if pool in free_since:
                away[pool] += at - free_since.pop(pool)
            owned[pool] = entry["process"]
    print("\n| submissions not accepted | times |\n|---|---|")
    for reason, count in refusals.most_common(8):
        print(f"| {reason} | {count} |")
    print("\n| pool without an owner after an end in order | seconds |\n|---|---|")
    for pool, seconds in away.most_common():
        print(f"| {pool} | {seconds:.2f} |")


def plot(lost, path):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    seconds = sorted(lost)
    pyplot.bar(seconds, [lost[second] for second in seconds], width=1.8)
    pyplot.xlabel("second of the day")
    pyplot.ylabel("requests' worth that is lacking")
    pyplot.savefig(path)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("reports", nargs="+")
    parser.add_argument("--log")
    parser.add_argument("--plot")
    arguments = parser.parse_args()
    reports = []
    for path in arguments.reports:
        with open(path, encoding="utf-8") as source:
            reports.append(json.load(source))
    print("| row | mean of the plays |\n|---|---|")
    for name, value in mean_rows(reports):
        print(f"| {name} | {value:.3f} |")
    print_classes(reports)
    lost = lost_by_window(reports)
    print_windows(lost)
    if arguments.log:
        print_causes(arguments.log)
    if arguments.plot:
        plot(lost, arguments.plot)


if __name__ == "__main__":
    main()
