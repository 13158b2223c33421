#!/usr/bin/env python3
"""Writes the two example bundles into examples/."""
import hashlib
import json
import pathlib

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
FIRST_PORT = 21001
RACK_SIZE = 4
SEVEN_WEEKS_S = 7 * 7 * 24 * 3600


def token(name):
    return hashlib.sha256(f"{name}-token".encode()).hexdigest()


def department(name, quota, callers):
    return {
        "name": name,
        "quota_slots": quota,
        "retry_ratio": 0.1,
        "callers": [{"name": c, "token_sha256": token(c)} for c in callers],
    }


def queue(name, owner, pool, priority, expected_ms):
    urgent = priority == "urgent"
    return {
        "name": name,
        "department": owner,
        "pool": pool,
        "priority": priority,
        "max_waiting": 400 if urgent else 2000,
        # Urgent work has to start within 3.6 s.
        # Leaves 0.2 s of the 3.6 s bound for starting the task.
        "max_wait_ms": 3400 if urgent else 600000,
        "expected_time_ms": expected_ms,
    }


def workers(zones, pools, size):
    """Deals out the workers of all pools in turn, so that a rack holds
    different pools and a zone holds an equal part of each pool."""
    left = dict(pools)
    dealt = {name: 0 for name in pools}
    in_zone = {zone: 0 for zone in zones}
    result = []
    while any(left.values()):
        for shift, pool in enumerate(pools):
            if left[pool] == 0:
                continue
            left[pool] -= 1
            zone = zones[(dealt[pool] + shift) % len(zones)]
            dealt[pool] += 1
            rack = in_zone[zone] // RACK_SIZE + 1
            in_zone[zone] += 1
            result.append({
                "id": f"{pool}-{dealt[pool]:02d}",
                "pool": pool,
                "zone": zone,
                "rack": f"{zone}-r{rack}",
                "address": f"127.0.0.1:{FIRST_PORT + len(result)}",
                "size": size,
                "slots": 8,
                "connections": 64,
            })
    return result


def bundle(deployment, weights, zones, departments, pools, spare, queues,
           budgets, size):
    return {
        "format": 1,
        "deployment": deployment,
        "weights": weights,
        "zones": zones,
        "departments": departments,
        "pools": [{"name": p, "spare": p == spare} for p in pools],
        "queues": queues,
        "workers": workers(zones, pools, size),
        "budgets": [
            {"department": d, "pool": p, "min_workers": n, "survive": s}
            for d, p, n, s in budgets
        ],
        "waves": [
            {
                "name": "maintenance",
                "pools": list(pools),
                "max_parallel": 2,
                "period_s": SEVEN_WEEKS_S,
                "checkpoint_after_s": 60,
            }
        ],
        "operators": [
            {"name": n, "role": r, "token_sha256": token(n)}
            for n, r in (("ana", "author"), ("luis", "reviewer"),
                         ("vera", "viewer"))
        ],
    }


def cancha_quetzal():
    return bundle(
        "cancha-quetzal",
        {"buffer_cost": 0.5, "rollout_time": 0.25, "moves": 0.25},
        ["gt-1", "gt-2", "gt-3"],
        [
            department("design", 240, ["club-managers", "treasurers"]),
            department("field", 200, ["installers", "surveyors"]),
        ],
        {"glare": 10, "beam": 10, "survey": 12, "quotes": 8,
         "billing-admin": 10},
        "billing-admin",
        [
            queue("glare-reports", "design", "glare", "urgent", 400),
            queue("quotes", "design", "quotes", "urgent", 400),
            queue("beam-layouts", "field", "beam", "urgent", 600),
            queue("fixture-surveys", "field", "survey", "batch", 3000),
            queue("billing-runs", "design", "billing-admin", "batch", 2000),
        ],
        [
            ("design", "glare", 5, "zone"),
            ("design", "quotes", 5, "rack"),
            ("field", "beam", 5, "zone"),
            ("field", "survey", 4, "rack"),
            ("design", "billing-admin", 3, "none"),
        ],
        {"cores": 32, "memory_mb": 131072, "accelerators": 0},
    )


def kowhai():
    return bundle(
        "kowhai",
        {"buffer_cost": 0.25, "rollout_time": 0.5, "moves": 0.25},
        ["nz-1", "nz-2", "nz-3", "nz-4"],
        [
            department("school-offices", 160, ["school-offices"]),
            department("galleries", 160, ["parents"]),
            department("yearbook", 160, ["editors"]),
            department("production", 200, ["lab"]),
        ],
        {"retakes": 10, "proofs": 10, "composites": 10, "archive": 12,
         "bookings": 8},
        "bookings",
        [
            queue("retake-bookings", "school-offices", "retakes", "urgent",
                  300),
            queue("proofs", "galleries", "proofs", "urgent", 400),
            queue("parent-orders", "galleries", "proofs", "urgent", 300),
            queue("composites", "yearbook", "composites", "urgent", 800),
            queue("archive-batches", "production", "archive", "batch", 4000),
            queue("colour-batches", "production", "archive", "batch", 3000),
        ],
        [
            ("school-offices", "retakes", 5, "zone"),
            ("galleries", "proofs", 6, "zone"),
            ("yearbook", "composites", 6, "zone"),
            ("production", "archive", 4, "rack"),
            ("school-offices", "bookings", 3, "none"),
        ],
        {"cores": 64, "memory_mb": 262144, "accelerators": 0},
    )


def main():
    EXAMPLES.mkdir(exist_ok=True)
    for make in (cancha_quetzal, kowhai):
        value = make()
        path = EXAMPLES / f"{value['deployment']}.json"
        path.write_text(json.dumps(value, indent=1) + "\n")


if __name__ == "__main__":
    main()
