"""Stand-in of the platform: its store and its machine service, by
PROTOCOL.md. Workers and the operator write through /operator/put and
/operator/remove, which are not part of the protocol."""
import asyncio
import sys
import time

import http_server

HISTORY_LIMIT = 100000
# A worker's entry is removed after three liveness report intervals of silence.
SILENCE_S = 3 * 1.5


class Store:
    def __init__(self):
        self.revision = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.reported = {}

    def note(self, event):
        self.history.append(event)
        if len(self.history) > HISTORY_LIMIT:
            del self.history[:HISTORY_LIMIT // 2]
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = time.monotonic()
        for key, at in list(self.reported.items()):
            if now - at > SILENCE_S:
                del self.reported[key]
                self.remove(key)
        for lease in [i for i, held in self.leases.items() if held[1] <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v["Lease"] == lease]:
            self.remove(key)

    def write(self, key, value, lease, revision):
        created = self.items.get(key, {}).get("Created", revision)
        self.items[key] = {"Key": key, "Value": value, "Rev": revision,
                           "Created": created, "Lease": lease}
        self.note(dict(self.items[key]))

    def remove(self, key, revision=None):
        if key not in self.items:
            return
        if revision is None:
            self.revision += 1
            revision = self.revision
        del self.items[key]
        self.note({"Key": key, "Rev": revision, "Deleted": True})

    def transact(self, body):
        expected = body.get("Expected", [])
        for row in expected:
            item = self.items.get(row["Key"])
            if (item["Rev"] if item else 0) != row["Rev"]:
                found = [self.items[r["Key"]] for r in expected
                         if r["Key"] in self.items]
                return 412, {"items": found}
        writes = body.get("Writes", [])
        for row in writes:
            if row.get("Lease", 0) and row["Lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in writes:
            self.write(row["Key"], row["Value"], row.get("Lease", 0),
                       self.revision)
        for key in body.get("Remove", []):
            self.remove(key, self.revision)
        return 200, {"Rev": self.revision}

    async def watch(self, query):
        prefix, after = query.get("Prefix", ""), int(query.get("After", "0"))
        end = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            self.expire()
            events = [e for e in self.history
                      if e["Rev"] > after and e["Key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "AsOf": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.05))
            except TimeoutError:
                pass

    def list(self, query):
        prefix, after = query.get("Prefix", ""), query.get("After", "")
        keys = sorted(k for k in self.items
                      if k.startswith(prefix) and k > after)
        return 200, {"items": [self.items[k] for k in keys[:500]],
                     "Truncated": len(keys) > 500, "AsOf": self.revision}

    async def handle(self, request):
        self.expire()
        path, body = request.path, request.body
        if path == "/-/kv-key":
            item = self.items.get(request.query.get("Key", ""))
            if item is None:
                return 404, {}
            return 200, dict(item, AsOf=self.revision)
        if path == "/-/kv-range":
            return self.list(request.query)
        if path == "/-/kv-watch":
            return await self.watch(request.query)
        if path == "/-/kv-txn":
            for row in body.get("Writes", []):
                if row["Key"].startswith(("op/", "servers/")):
                    return 403, {}
            return self.transact(body)
        if path == "/-/kv-lease":
            self.next_lease += 1
            length = max(1000, min(body["TtlMs"], 600000))
            self.leases[self.next_lease] = [
                length / 1000, time.monotonic() + length / 1000]
            return 200, {"Lease": self.next_lease, "TtlMs": length}
        if path.startswith("/-/kv-keep/"):
            held = self.leases.get(int(path.rsplit("/", 1)[1]))
            if held is None:
                return 404, {}
            held[1] = time.monotonic() + held[0]
            return 200, {"TtlMs": int(held[0] * 1000)}
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/operator/put":
            self.revision += 1
            self.write(body["Key"], body["Value"], 0, self.revision)
            if body["Key"].startswith("servers/"):
                self.reported[body["Key"]] = time.monotonic()
            return 200, {"Rev": self.revision}
        if path == "/operator/remove":
            self.remove(body["Key"])
            return 200, {}
        return 404, {}


async def machines(request):
    # No machine moves in these cases: the list is empty.
    if request.path == "/-/machines":
        return 200, {"Machines": [], "NextToken": None}
    return 400, {}


async def main():
    address, store_port, machine_port = sys.argv[1:4]
    store = Store()
    servers = [
        await http_server.serve((address, int(store_port)), store.handle),
        await http_server.serve((address, int(machine_port)), machines)]
    await asyncio.gather(*(s.serve_forever() for s in servers))


if __name__ == "__main__":
    asyncio.run(main())
