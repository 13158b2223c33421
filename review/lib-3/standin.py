"""Stand-ins for the users' platform on loopback: the store, workers, the
machine service, a proxy, consumers, and the project's instances as processes.
They follow PROTOCOL.md; where it is silent they behave like a sound server.
Only the standard library is used."""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BEGUN = time.monotonic()


def now():
    return time.monotonic() - BEGUN


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, text):
        self.file.write("%9.3f %s\n" % (now(), text))
        self.file.flush()


def free_ports(count):
    """A block of free ports, outside the range of outgoing connections where
    possible."""
    base = random.randrange(10500, 30000, 16)
    for _ in range(2000):
        base = base + 16 if base < 30000 else 10500
        held = []
        try:
            for port in range(base, base + count):
                held.append(socket.socket())
                held[-1].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                held[-1].bind(("127.0.0.1", port))
            return list(range(base, base + count))
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
    raise RuntimeError("no free ports")


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if int(headers.get("content-length", 0)) > 0:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class HttpServer:
    """`handle(method, path, query, headers, body)` returns status and object,
    or None: no answer, and the channel stays silent."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self):
        """As a process that is killed: the channels are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                values = {k: v[0] for k, v in
                          urllib.parse.parse_qs(query).items()}
                answer = await self.handle(
                    method, path, values, headers,
                    json.loads(body) if body else {})
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def reset(writer):
    raw = writer.get_extra_info("socket")
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                       struct.pack("ii", 1, 0))
    except (OSError, AttributeError):
        pass
    writer.transport.abort()


class Store:
    """The platform's store."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.leases = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.next_lease = 7000
        self.server = None
        self.writes = []

    async def start(self):
        self.server = await HttpServer(self.handle).start()
        asyncio.ensure_future(self.expire())
        return self

    @property
    def port(self):
        return self.server.port

    def put(self, key, value, lease=0):
        """By the operator or a worker. Returns the revision."""
        self.revision += 1
        self.apply_write(key, value if isinstance(value, bytes)
                         else json.dumps(value).encode(), lease)
        self.wake()
        return self.revision

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self.apply_removal(key)
            self.wake()

    def apply_write(self, key, value, lease):
        created = self.items[key]["Created"] if key in self.items \
            else self.revision
        item = {"Key": key, "Value": base64.b64encode(value).decode(),
                "Rev": self.revision, "Created": created, "Lease": lease}
        self.items[key] = item
        self.events.append(item)

    def apply_removal(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append({"Key": key, "Rev": self.revision,
                                "Deleted": True})

    def wake(self):
        async def notify():
            async with self.changed:
                self.changed.notify_all()
        asyncio.ensure_future(notify())

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else \
            base64.b64decode(item["Value"])

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [k for k, v in self.items.items() if v["Lease"] == lease]
        if gone:
            self.revision += 1
            for key in gone:
                self.apply_removal(key)
            self.wake()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (ttl, until) in list(self.leases.items()):
                if until < time.monotonic():
                    self.end_lease(lease)

    async def handle(self, method, path, query, headers, body):
        if path == "/-/kv-key":
            item = self.items.get(query["Key"])
            return (404, {}) if item is None else \
                (200, dict(item, AsOf=self.revision))
        if path == "/-/kv-range":
            after = query.get("After", "")
            found = sorted(k for k in self.items
                           if k.startswith(query["Prefix"]) and k > after)
            return 200, {"items": [self.items[k] for k in found[:500]],
                         "Truncated": len(found) > 500, "AsOf": self.revision}
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-lease":
            self.next_lease += 1
            ttl = max(int(body["TtlMs"]), 1000)
            self.leases[self.next_lease] = \
                (ttl, time.monotonic() + ttl / 1000)
            return 200, {"Lease": self.next_lease, "TtlMs": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"TtlMs": ttl}
        if path.startswith("/-/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        if path == "/-/kv-txn":
            return self.transact(body)
        return 400, {}

    async def watch(self, query):
        prefix, after = query["Prefix"], int(query["After"])
        end = time.monotonic() + min(int(query.get("WaitMs", 0)), 30000) / 1000
        while True:
            events = [e for e in self.events
                      if e["Rev"] > after and e["Key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[:500], "AsOf": self.revision
                             if len(events) <= 500 else events[499]["Rev"]}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    def transact(self, body):
        expected = body.get("Expected") or []
        if any((self.items[e["Key"]]["Rev"] if e["Key"] in self.items else 0)
               != e["Rev"] for e in expected):
            return 412, {"items": [self.items[e["Key"]] for e in expected
                                   if e["Key"] in self.items]}
        for write in body.get("Writes") or []:
            if write.get("Lease") and write["Lease"] not in self.leases:
                return 404, {}
            if write["Key"].startswith(("op/", "servers/")):
                return 403, {}
        self.revision += 1
        for write in body.get("Writes") or []:
            value = base64.b64decode(write["Value"])
            self.apply_write(write["Key"], value, write.get("Lease", 0))
            self.writes.append((now(), write["Key"], value))
        for key in body.get("Remove") or []:
            self.apply_removal(key)
        self.wake()
        return 200, {"Rev": self.revision}


class Worker:
    """One worker. A task's `Spec` is JSON: `ms`, how long it works, and `how`,
    its end; a task of a step that lasts has `lasts` and may have `fails_ms`,
    the age at which each of its runs in that order fails."""
    HOLD_MAX_MS = 6000
    STOP_MS = 200

    def __init__(self, deployment, ident, pool, cpu=4000, kind="a"):
        self.deployment = deployment
        self.id = ident
        self.pool = pool
        self.cpu = cpu
        self.kind = kind
        self.rack = "r1-1"
        self.machine = "m-" + ident
        self.server = HttpServer(self.handle)
        self.port = 0
        self.is_up = False
        self.seq = 0
        self.born = 0
        self.plug = []

    async def start(self):
        """A new boot: it holds and knows nothing of before."""
        for one in self.plug:
            one.close()
        self.plug = []
        self.server.stop()
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.zero = time.monotonic() - random.uniform(5, 50)
        self.fence = 0
        self.lease_until = 0
        self.runs = {}
        self.ends = []
        self.next_end = 1
        self.highest_ended = {}
        self.end_listed = asyncio.Condition()
        await self.server.start(self.port)
        self.port = self.server.port
        self.is_up = True
        self.announce()
        self.ticker = asyncio.ensure_future(self.tick())
        self.deployment.record.write("worker %s is up, born %d" %
                                     (self.id, self.born))

    def crash(self):
        """SIGKILL: nothing is sent, all that runs here is gone."""
        if not self.is_up:
            return
        self.end_boot()
        self.server.stop()
        self.deployment.record.write("worker %s crashes" % self.id)

    def go_dark(self):
        """It loses power: its channels and new ones stay silent."""
        if not self.is_up:
            return
        self.end_boot()
        self.server.server.close()
        # A listener whose queue is full drops opening packets.
        plug = socket.socket()
        plug.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        plug.bind(("127.0.0.1", self.port))
        plug.listen(0)
        self.plug = [plug]
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.plug.append(filler)
        self.deployment.record.write("worker %s loses power" % self.id)

    def end_boot(self):
        self.is_up = False
        self.ticker.cancel()
        for task, run in self.runs.items():
            self.deployment.note_run_end(self, task, run, "crash")
        self.runs = {}

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    def entry(self):
        self.seq += 1
        return {"Service": self.pool,
                "Address": "127.0.0.1:%d" % self.port, "Zone": "z1",
                "Version": "v1", "Slots": 8, "State": "ready",
                "ColdLeftMs": 0, "Capacity": self.capacity(),
                "Labels": [self.kind, self.rack], "ClockMs": self.clock(),
                "Seq": self.seq, "born": self.born}

    def capacity(self):
        return {"Cpu": self.cpu, "MemMb": 65536, "Gpu": 0}

    def announce(self):
        self.deployment.store.put("servers/" + self.id, self.entry())

    async def tick(self):
        last = time.monotonic() - random.uniform(0, 1.5)
        while True:
            await asyncio.sleep(0.01)
            if time.monotonic() - last > 1.5:
                last = time.monotonic()
                self.announce()
            await self.advance()

    async def advance(self):
        clock = self.clock()
        for task, run in list(self.runs.items()):
            how = None
            if clock > self.lease_until:
                how = "lapsed"
            elif run["stop_at"] is not None and clock >= run["stop_at"]:
                how = "stopped"
            elif run["stop_at"] is None and run["end_at"] is not None and \
                    clock >= run["end_at"]:
                how = run["how"]
            if how:
                await self.end(task, how)

    async def end(self, task, how):
        run = self.runs.pop(task)
        self.ends.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.highest_ended[task] = max(self.highest_ended.get(task, 0),
                                       run["run"])
        self.deployment.note_run_end(self, task, run, how)
        async with self.end_listed:
            self.end_listed.notify_all()

    def extend(self, until):
        if until:
            self.lease_until = max(self.lease_until, min(
                int(until), self.clock() + self.HOLD_MAX_MS))

    async def handle(self, method, path, query, headers, body):
        boot = self.born
        answer = await self.answer(path, headers, body)
        return answer if self.is_up and self.born == boot else None

    async def answer(self, path, headers, body):
        if not self.is_up:
            return None
        if headers.get("x-pimentograde-expect-instance",
                       self.id) != self.id:
            return 421, {}
        fence = int(body.get("FencingToken", 0))
        if fence < self.fence:
            return 409, {"ClockMs": self.clock(), "Reason": "fence"}
        self.fence = fence
        if path == "/-/run-start":
            return self.start_run(body)
        if path == "/-/run-stop":
            task = body["Task"]
            run = self.runs.get(task)
            if run is not None and run["run"] <= body["RunId"]:
                if run["stop_at"] is None:
                    run["stop_at"] = self.clock() + self.STOP_MS
            else:
                self.highest_ended[task] = max(
                    self.highest_ended.get(task, 0), body["RunId"])
            return 200, {"ClockMs": self.clock()}
        if path == "/-/hold":
            return await self.hold(body)
        return 400, {}

    def start_run(self, body):
        def no(reason):
            return 409, {"ClockMs": self.clock(), "Reason": reason}
        task, number = body["Task"], body["RunId"]
        if int(body["UntilMs"]) <= self.clock():
            return no("late")
        if task in self.runs and self.runs[task]["run"] == number:
            return 200, {"ClockMs": self.clock()}
        self.extend(body["UntilMs"])
        if task in self.runs or number <= self.highest_ended.get(task, 0):
            return no("old")
        need = self.deployment.cpu_of(task)
        used = sum(run["cpu"] for run in self.runs.values())
        if used + need > self.cpu:
            return no("room")
        spec = json.loads(body["Spec"])
        end, how = spec.get("ms"), spec.get("how", "done")
        if spec.get("lasts"):
            fails = self.deployment.next_failure(task, spec)
            end, how = fails, "failed"
        begun = self.clock()
        run = {"run": number, "cpu": need, "begun": begun, "how": how,
               "end_at": None if end is None else begun + end,
               "ms": 500 if spec.get("lasts") else max(end, 1),
               "stop_at": None, "at": now(), "spec": body["Spec"]}
        self.runs[task] = run
        self.deployment.note_run_start(self, task, run, body)
        return 200, {"ClockMs": self.clock()}

    def listing(self):
        clock = self.clock()
        rows = [[task, run["run"], "",
                 min(100, int((clock - run["begun"]) * 100 / run["ms"])), 1]
                for task, run in self.runs.items()]
        return {"ClockMs": clock, "Running": rows,
                "Finished": self.ends[:500], "born": self.born}

    async def hold(self, body):
        seen = body.get("LastSeen", 0)
        for end in self.ends:
            if end[0] <= seen:
                self.deployment.note_end_seen(self, end)
        self.ends = [end for end in self.ends if end[0] > seen]
        self.extend(body.get("UntilMs"))
        wait = min(int(body.get("WaitMs", 0)), 2000) / 1000
        if wait > 0 and not self.ends:
            async with self.end_listed:
                try:
                    await asyncio.wait_for(self.end_listed.wait(), wait)
                except asyncio.TimeoutError:
                    pass
        return 200, self.listing()


class Machines:
    """The platform's machine service; one machine for each worker."""
    UPKEEP_S = 2.0
    MOVE_S = 1.5

    def __init__(self, deployment):
        self.deployment = deployment
        self.orders = []
        self.state = {}
        self.maintained = set()
        self.serial = 0

    async def start(self):
        self.server = await HttpServer(self.handle).start()
        return self

    @property
    def port(self):
        return self.server.port

    async def handle(self, method, path, query, headers, body):
        if path == "/-/machines":
            return 200, {"Machines": [
                {"Machine": w.machine, "Pool": w.pool,
                 "State": self.state.get(w.machine, "up"), "Zone": "z1",
                 "Labels": [w.kind, w.rack], "Capacity": w.capacity(),
                 "Id": w.id if self.state.get(w.machine, "up") == "up"
                 else ""} for w in self.deployment.workers.values()],
                "NextToken": None}
        worker = next((w for w in self.deployment.workers.values()
                       if w.machine == body.get("Machine")), None)
        if worker is None:
            return 400, {}
        order = (now(), worker.machine, path,
                 headers.get("x-pimentograde-lease-holder"),
                 int(headers.get("x-pimentograde-fencing-token", 0)))
        answer = self.carry_out(path, worker, body)
        self.orders.append(order)
        self.deployment.record.write(
            "machine %s gets %s from %s with fence %d: %d" %
            (order[1], path, order[3], order[4], answer[0]))
        return answer

    def carry_out(self, path, worker, body):
        state = self.state.get(worker.machine, "up")
        if path == "/-/machine-upkeep":
            if (worker.machine, body["Wave"]) in self.maintained:
                return 200, {}
            if state != "up":
                return 409, {"Reason": "busy"}
            self.maintained.add((worker.machine, body["Wave"]))
            self.take_down(worker, "upkeep", worker.pool, self.UPKEEP_S)
            return 200, {}
        if body["Pool"] == worker.pool and state == "up":
            return 200, {}
        if state != "up":
            return 409, {"Reason": "busy"}
        self.take_down(worker, "moving", body["Pool"], self.MOVE_S)
        return 200, {}

    def take_down(self, worker, state, pool, length):
        self.state[worker.machine] = state
        worker.crash()
        self.deployment.store.remove("servers/" + worker.id)

        async def come_back():
            await asyncio.sleep(length)
            self.serial += 1
            old = worker.id
            worker.id = "%s-%d" % (worker.machine[2:], self.serial)
            self.deployment.workers[worker.id] = \
                self.deployment.workers.pop(old)
            worker.pool = pool
            worker.port = 0
            await worker.start()
            self.state[worker.machine] = "up"
        asyncio.ensure_future(come_back())


class Proxy:
    """Forwards one instance's channels. While it is cut, it holds the bytes
    of both directions, and channels opened meanwhile stay silent. After the
    cut, held bytes go on, but not those of a sender that has reset."""

    def __init__(self, port):
        self.target = port
        self.is_cut = False
        self.healed = asyncio.Event()
        self.healed.set()
        self.on_bytes = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def cut(self):
        self.is_cut = True
        self.healed.clear()

    def heal(self):
        self.is_cut = False
        self.healed.set()

    async def serve(self, reader, writer):
        if self.is_cut:
            try:
                await self.healed.wait()
            finally:
                reset(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.target)
        except OSError:
            reset(writer)
            return
        await asyncio.gather(
            self.pump(reader, far_writer, True),
            self.pump(far_reader, writer, False), return_exceptions=True)
        writer.close()
        far_writer.close()

    async def pump(self, reader, writer, is_outward):
        held = asyncio.Queue()

        async def read():
            try:
                while True:
                    data = await reader.read(65536)
                    if data and is_outward and self.on_bytes:
                        self.on_bytes(data)
                    held.put_nowait(data)
                    if not data:
                        return
            except (ConnectionError, OSError):
                held.put_nowait(None)

        reading = asyncio.ensure_future(read())
        try:
            while True:
                data = await held.get()
                await self.healed.wait()
                if data is not None and not held.empty() and \
                        any(entry is None for entry in held._queue):
                    data = None
                if data is None:
                    reset(writer)
                    return
                if not data:
                    if writer.can_write_eof():
                        writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            reading.cancel()


class Deployment:
    """A small deployment: instances, store, workers, machine service."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.scratch = tempfile.TemporaryDirectory()
        self.store = Store()
        self.machines = Machines(self)
        self.workers = {}
        self.processes = {}
        self.ports = {}
        self.jobs = {}
        self.run_starts = []
        self.run_ends = []
        self.seen_ends = []
        self.failures = {}
        self.seen_by_task = {}

    async def start_platform(self):
        await self.store.start()
        await self.machines.start()

    def configure(self, version, routes, services):
        """Routes: (prefix, service, MaxAttempts)."""
        self.store.put("op/config", {
            "Version": version,
            "Routes": [{"Name": "r" + prefix.strip("/"), "Host": "h.example",
                        "Prefix": prefix, "Kind": "unsafe",
                        "TimeoutMs": 3000, "TargetDurationMs": 2500,
                        "Priority": 0, "Service": service,
                        "MaxAttempts": attempts, "Stretch": 2.2}
                       for prefix, service, attempts in routes],
            "Services": [{"Name": name, "HealthPath": "/health",
                          "MaxConns": 64, "Protocol": "h1", "Tls": False,
                          "EnforcesCapacity": True, "Standby": False}
                         for name in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
        self.record.write("operator puts configuration %d" % version)

    async def add_worker(self, ident, pool, cpu=4000, kind="a"):
        worker = Worker(self, ident, pool, cpu, kind)
        self.workers[ident] = worker
        await worker.start()
        return worker

    def settings(self, name, store_port, machine_port, cores=1, share=0.25):
        if name not in self.ports:
            self.ports[name] = free_ports(16)
        ports = self.ports[name]
        return {
            "NodeName": name, "Role": "entry", "MachineClass": "frontend",
            "Serves": ["frontend", "control"], "Ip": "127.0.0.1",
            "Zone": "z1", "Region": "r1",
            "InternalPorts": [ports[3], ports[15]], "Seeds": [],
            "Bootstrap": True, "FaultCounted": False,
            "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1500,
            "Contracts": ["base", "drain", "config", "cost", "recover",
                          "sched", "platform", "upkeep"],
            "Orders": "call", "Zones": {"z1": "r1"},
            "ListenAddrs": {"Front": "127.0.0.1:%d" % ports[0],
                            "ReadyAddr": "127.0.0.1:%d" % ports[1],
                            "Control": "127.0.0.1:%d" % ports[2]},
            "Limits": {"CpuShare": share, "Cores": cores, "MemoryMb": 260,
                       "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
            "FaultTolerance": {"Machines": 2, "Zones": 0, "Regions": 0},
            "Bounds": {
                "SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000,
                "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6,
                "LossSlackMs": 200, "ConfigApplyMs": 2000,
                "RollbackSlackMs": 250, "MaxStretchMs": 5000,
                "RecoveryS": 12, "HoldMaxMs": 6000, "StopMs": 200,
                "GangMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
                "early_ms": 250, "finish_s": 14, "status_s": 120,
                "RemoteFactor": 2, "SaveS": 0.5, "RestoreMs": 100,
                "NoticeMs": 4500, "MoveS": 1.5, "UpkeepS": 2,
                "FencingEnforced": False, "LeaseMs": 3000, "ThawMs": 300,
                "PaceMs": 100, "HarmMs": 4000},
            "platform": {"Address": "127.0.0.1:%d" % store_port,
                         "form": "kv", "WritesPerS": 400, "ReadsPerS": 2000,
                         "HistoryS": 20, "ValueBytes": 1048576,
                         "TtlMinMs": 1000},
            "CloudApi": {"Address": "127.0.0.1:%d" % machine_port,
                         "RatePerS": 64.0, "Duties": [], "DutyPerS": 64.0}}

    async def start_instance(self, name, store_port=None, machine_port=None,
                             **more):
        path = os.path.join(self.scratch.name, name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(name, store_port or self.store.port,
                                    machine_port or self.machines.port,
                                    **more), file)
        # The deploy file's `run`; the level and the output file are for the
        # record.
        log = open(os.path.join(self.scratch.name, name + ".log"), "ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            "target/pimentograde", "node", "--log-level", "info", cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""),
                 "PIMENTOGRADE_NODE_FILE": path},
            stdout=log, stderr=log)
        self.record.write("instance %s starts" % name)

    def log_lines(self, name):
        path = os.path.join(self.scratch.name, name + ".log")
        result = []
        with open(path, errors="replace") as file:
            for line in file:
                try:
                    result.append(json.loads(line))
                except ValueError:
                    pass
        return result

    async def wait_ready(self, limit=20):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            ready = 0
            for name in self.processes:
                answer = await self.call(
                    name, "GET", "/-/ready", port=self.ports[name][1])
                ready += answer is not None and answer[0] == 200
            if ready == len(self.processes):
                return True
            await asyncio.sleep(0.1)
        return False

    def holder(self, role):
        """The instance that holds the role, by the platform's store."""
        value = self.store.value("pimentograde/role/" + role)
        return None if value is None else json.loads(value)["node"]

    async def wait_holder(self, role, limit=20):
        end = time.monotonic() + limit
        while time.monotonic() < end and self.holder(role) is None:
            await asyncio.sleep(0.05)
        return self.holder(role)

    async def call(self, name, method, path, body=None, limit=3.0, port=None):
        """Returns status and object, or None without an answer."""
        writer = None

        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port or self.ports[name][0])
            text = json.dumps(body).encode() if body is not None else b""
            writer.write((
                "%s %s HTTP/1.1\r\nHost: h.example\r\n"
                "X-Pimentograde-Deadline-Ms: %d\r\n"
                "Content-Type: application/json\r\n"
                "Content-Length: %d\r\n\r\n" %
                (method, path, limit * 1000, len(text))).encode() + text)
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), \
                json.loads(answer) if answer else {}
        try:
            return await asyncio.wait_for(exchange(), limit)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
                ValueError):
            return None
        finally:
            if writer is not None:
                writer.close()

    async def submit(self, prefix, ident, spec, steps, names=None, tries=8):
        """Hands a job in as a consumer does: again at another instance after
        no answer, 429, 503, 502 or 504. Returns whether it was accepted."""
        self.jobs[ident] = {"prefix": prefix, "steps": steps}
        names = names or list(self.processes)
        for attempt in range(tries):
            name = names[attempt % len(names)]
            answer = await self.call(name, "POST", prefix + ident,
                                     {"Spec": json.dumps(spec),
                                      "Steps": steps})
            self.record.write("job %s handed in at %s: %s" %
                              (ident, name, answer))
            if answer is not None and 200 <= answer[0] < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, ident, names=None):
        """The job's state as consumers see it, or the status code."""
        for name in names or list(self.processes):
            answer = await self.call(name, "GET",
                                     self.jobs[ident]["prefix"] + ident)
            if answer is not None and answer[0] in (200, 410):
                state = answer[1].get("State") if answer[0] == 200 else 410
                self.record.write("job %s is shown as %s by %s" %
                                  (ident, state, name))
                return state
        self.record.write("job %s: no answer" % ident)
        return None

    def cpu_of(self, task):
        ident, _, step, _ = task.split(".")
        return self.jobs[ident]["steps"][int(step)].get("Cpu", 0)

    def next_failure(self, task, spec):
        """At what age the next run of a task that lasts fails, or None."""
        ages = spec.get("fails_ms", [])
        count = self.failures.get(task, 0)
        self.failures[task] = count + 1
        return ages[count] if count < len(ages) else None

    def note_run_start(self, worker, task, run, body):
        self.run_starts.append((now(), task, run["run"], worker.id))
        self.record.write("worker %s begins %s run %d (fence %d)" %
                          (worker.id, task, run["run"],
                           body.get("FencingToken", 0)))

    def note_run_end(self, worker, task, run, how):
        self.run_ends.append((now(), task, run["run"], worker.id, how))
        self.record.write("worker %s ends %s run %d: %s" %
                          (worker.id, task, run["run"], how))

    def note_end_seen(self, worker, end):
        self.seen_ends.append((now(), end[1], end[2], worker.id, end[3]))
        self.record.write("worker %s: the end %s run %d (%s) is taken note of"
                          % (worker.id, end[1], end[2], end[3]))

    def running_at(self, task):
        return [w for w in self.workers.values()
                if w.is_up and task in w.runs]

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        self.record.write("all processes have ended")


def run_case(case, folder, limit=115):
    """Exit status: 1 the rule was broken, 0 it held, 2 it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(os.path.join(ROOT, "target", "pimentograde")):
        print("could not run: target/pimentograde is missing")
        return 2

    async def body():
        deployment = Deployment(folder)
        try:
            return await asyncio.wait_for(case(deployment, trouble), limit)
        except Exception as failure:  # the case could not run to its end
            deployment.record.write("could not run: %r" % failure)
            print("could not run: %r" % failure)
            return 2
        finally:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for name in deployment.processes:
                    os.system("cp %s/%s.log %s/" % (
                        deployment.scratch.name, name, keep))
            await deployment.stop()

    def quiet(loop, context):
        pass

    async def outer():
        asyncio.get_running_loop().set_exception_handler(quiet)
        return await body()

    status = asyncio.run(outer())
    print({0: "held", 1: "BROKEN", 2: "could not run"}[status])
    return status
