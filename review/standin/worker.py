"""Stand-in of one worker, by PROTOCOL.md, as a process of its own: killing the
process is a crash of the worker. What a task needs and how long it takes
stands in its Spec as JSON: {"ms": 500, "cpu": 1000} or {"lasts": true}.
Each start, end and stop goes as a line to the record of the case."""
import asyncio
import base64
import json
import os
import sys
import time

import http_server

STARTUP_S = 0.5


class Worker:
    def __init__(self, options):
        self.id = options["id"]
        self.service = options["service"]
        self.address = options["address"]
        self.store = tuple(options["store"])
        self.record_path = options["record"]
        self.capacity = options.get("capacity",
                                    {"Cpu": 32000, "MemMb": 131072, "Gpu": 0})
        self.labels = options.get("labels", ["a", "r1-1"])
        self.heartbeat_s = options.get("heartbeat_ms", 1500) / 1000
        self.hold_max_ms = options.get("hold_max_ms", 6000)
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.until = 0
        self.running = {}
        self.refused = {}
        self.ends = []
        self.last_end = 0
        self.ended = asyncio.Event()

    def record(self, what, **fields):
        line = dict(at=round(time.time(), 3), what=what, worker=self.id,
                    born=self.born, **fields)
        with open(self.record_path, "a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")

    def clock(self):
        return 1000 + int((time.monotonic() - self.began) * 1000)

    def end(self, task, how):
        run = self.running.pop(task)
        self.refused[task] = max(self.refused.get(task, 0), run["number"])
        self.last_end += 1
        self.ends.append([self.last_end, task, run["number"], how, ""])
        self.record("end", task=task, run=run["number"], how=how)
        self.ended.set()

    def advance(self):
        now = time.monotonic()
        for task, run in list(self.running.items()):
            if self.clock() >= self.until:
                self.end(task, "lapsed")
            elif not run["lasts"] and now - run["at"] >= run["seconds"]:
                self.end(task, "done")

    def extend(self, until):
        self.until = max(self.until,
                         min(until, self.clock() + self.hold_max_ms))

    def answer(self, status, **fields):
        return status, dict(fields, ClockMs=self.clock(), born=self.born)

    def start(self, body):
        task, number = body["Task"], body["RunId"]
        if body["UntilMs"] <= self.clock():
            return self.answer(409, Reason="late")
        self.extend(body["UntilMs"])
        held = self.running.get(task)
        if held is not None and held["number"] == number:
            return self.answer(200)
        if number <= self.refused.get(task, 0) or held is not None:
            return self.answer(409, Reason="old")
        spec = json.loads(body["Spec"])
        used = sum(run["cpu"] for run in self.running.values())
        if used + spec.get("cpu", 1000) > self.capacity["Cpu"]:
            return self.answer(409, Reason="room")
        self.running[task] = {
            "number": number, "at": time.monotonic(),
            "cpu": spec.get("cpu", 1000), "lasts": spec.get("lasts", False),
            "seconds": spec.get("ms", 500) / 1000}
        self.record("start", task=task, run=number, spec=body["Spec"],
                    fence=body.get("FencingToken", 0))
        return self.answer(200)

    def stop(self, body):
        task, number = body["Task"], body["RunId"]
        self.refused[task] = max(self.refused.get(task, 0), number)
        held = self.running.get(task)
        if held is not None and held["number"] <= number:
            self.end(task, "stopped")
        return self.answer(200)

    async def hold(self, body):
        seen = body.get("LastSeen", 0)
        self.ends = [row for row in self.ends if row[0] > seen]
        if body.get("UntilMs"):
            self.extend(body["UntilMs"])
        limit = time.monotonic() + min(body.get("WaitMs", 0), 2000) / 1000
        while not self.ends and time.monotonic() < limit:
            self.ended.clear()
            left = limit - time.monotonic()
            try:
                await asyncio.wait_for(self.ended.wait(), min(left, 0.02))
            except TimeoutError:
                pass
            self.advance()
        rows = []
        for task, run in self.running.items():
            passed = time.monotonic() - run["at"]
            length = STARTUP_S if run["lasts"] else run["seconds"]
            percent = min(100, int(100 * passed / length))
            rows.append([task, run["number"], "", percent, run["cpu"]])
        return self.answer(200, Running=rows, Finished=self.ends[:500])

    async def handle(self, request):
        self.advance()
        if request.path == "/health":
            return 200, {}
        expected = request.headers.get("x-pimentograde-expect-instance")
        if expected is not None and expected != self.id:
            return self.answer(421)
        fence = request.body.get("FencingToken", 0)
        if fence < self.fence:
            return self.answer(409, Reason="fence")
        self.fence = fence
        if request.path == "/-/run-start":
            return self.start(request.body)
        if request.path == "/-/run-stop":
            return self.stop(request.body)
        if request.path == "/-/hold":
            return await self.hold(request.body)
        return 404, {}

    def entry(self):
        self.sequence += 1
        return {"Service": self.service,
                "Address": f"{self.address[0]}:{self.address[1]}",
                "Zone": "z-a", "Version": "v1", "Slots": 8, "State": "ready",
                "ColdLeftMs": 0, "Capacity": self.capacity,
                "Labels": self.labels, "ClockMs": self.clock(),
                "born": self.born, "Seq": self.sequence}

    async def beat(self):
        while True:
            text = json.dumps(self.entry()).encode()
            await http_server.call(
                self.store, "POST", "/operator/put",
                {"Key": "servers/" + self.id,
                 "Value": base64.b64encode(text).decode()})
            await asyncio.sleep(self.heartbeat_s)

    async def tick(self):
        while True:
            self.advance()
            await asyncio.sleep(0.02)


async def main():
    worker = Worker(json.loads(sys.argv[1]))
    server = await http_server.serve(tuple(worker.address), worker.handle)
    worker.record("up", pid=os.getpid())
    await asyncio.gather(server.serve_forever(), worker.beat(), worker.tick())


if __name__ == "__main__":
    asyncio.run(main())
