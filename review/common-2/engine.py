"""A stand-in model replica with orders, and the config of a service of such replicas."""

import json
import threading
import time

import rig

MODEL = "daka510000"
SERVICE = "prop-llm"


def config(route, models=(MODEL,)):
    """One streaming route to model replicas with the figures of the sheet."""
    return {
        "version": 7,
        "routes": [{"name": "blurb", "host": "shop.example", "pathPrefix": "/blurb/",
                    "kind": "streaming", "sloMs": 3000, "priority": 1, "service": SERVICE,
                    "sticky": True, "gapSloMs": 150, **route}],
        "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 360,
                      "protocol": "h1", "tls": False,
                      "engine": {"slots": 64, "kvCapacity": 131875, "kvTokenBytes": 163840,
                                 "linkMbps": 550000.0, "moves": True, "backups": True,
                                 "stride": 6, "cap": 12, "hostMb": 150000.0,
                                 "diskMb": 440000.0, "pinMs": 4000.0, "holdMs": 2000.0,
                                 "handle_s": 5.0, "weightsMb": 220000.0,
                                 "adapterSlots": 5, "loadsPerS": 1.6,
                                 "models": [{"name": name, "weightsMb": 65100.0,
                                             "loadS": 3.8, "adapters": 0,
                                             "adapterMb": 12.0, "warmS": 0.38,
                                             "diskS": 0.76} for name in models]}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Engine(rig.StreamReplica):
    """A model replica. A part of prompts may crash it; it restarts empty, and what it had
    loaded is on its disk."""

    EVENTS = 10
    PAUSE_S = 0.05
    STORE_S = 3.8
    DISK_S = 0.76
    # The replica is back after some seconds.
    DOWN_S = 3.0

    def __init__(self, *args, deadly="", crashes=None, arrivals=None, on_disk=None,
                 **kwargs):
        self.accepted = 0
        self.loading = None
        # The disk survives a restart.
        self.on_disk = set(kwargs["models"]) if on_disk is None else on_disk
        self.deadly, self.crashes, self.arrivals = deadly, crashes, arrivals
        super().__init__(*args, **kwargs)

    def description(self):
        said = super().description()
        said["available"] = {"inMemory": [], "onDisk": list(self.on_disk)}
        return said

    def answer(self, channel, method, path, headers, body):
        expected = headers.get("x-carobtide-expect-instance")
        if expected == self.name and path == "/-/report":
            report = {"stage": "both", "models": self.description()["models"],
                      "busy": self.loading is not None, "seq": self.accepted, "queued": 0,
                      "active": 0, "kvUsed": 0, "kvTotal": 131875, "handles": 0,
                      "born": self.born}
            return self.respond(channel, 200, headers, json.dumps(report).encode())
        if expected == self.name and path == "/-/order":
            return self.respond(channel, self.obey(json.loads(body)), headers, b"")
        return super().answer(channel, method, path, headers, body)

    def obey(self, order):
        self.record.write(f"order to {self.name}: {order}")
        with self.lock:
            if self.loading or order.get("expect", self.accepted) != self.accepted:
                return 409
            if (order["op"] == "load") == (order["model"] in self.models):
                return 200
            self.accepted += 1
            if order["op"] == "unload":
                self.models.remove(order["model"])
                return 202
            self.loading = order["model"]

        def load():
            time.sleep(self.DISK_S if order["model"] in self.on_disk else self.STORE_S)
            with self.lock:
                self.on_disk.add(self.loading)
                self.models.append(self.loading)
                self.loading = None
        threading.Thread(target=load, daemon=True).start()
        return 202

    def serve(self, channel, method, path, headers, body):
        if headers.get("x-carobtide-model") not in self.models:
            return self.respond(channel, 421, headers, b"", {"X-Carobtide-Not-Run": "1"})
        if self.deadly and self.deadly in headers.get("x-carobtide-prompt-prefix", ""):
            request = headers.get("x-carobtide-request-id")
            self.arrivals.append(time.monotonic())
            self.record.write(f"replica {self.name} crashes as it begins {request}")
            self.crashes.append(time.monotonic())
            self.end()
            threading.Thread(target=self.restart, daemon=True).start()
            return False
        return super().serve(channel, method, path, headers, body)

    def restart(self):
        time.sleep(self.DOWN_S)
        type(self)(self.deployment, self.record, self.service, self.name + "b", self.ip,
                   self.port, models=[], deadly=self.deadly, crashes=self.crashes,
                   arrivals=self.arrivals, on_disk=self.on_disk)


class Requests:
    """Sends requests and keeps when each was sent and whether it began at its first
    attempt."""

    TIME_LIMIT_MS = 12000

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.lock = threading.Lock()
        self.sent = 0

    def send(self, label, parts, kept):
        """`parts`: the shared ones; the last part of the prompt is the request's own."""
        with self.lock:
            self.sent += 1
            number = self.sent
        edge = self.deployment.edges[number % len(self.deployment.edges)]
        name = f"{label}-{number}"
        at = time.monotonic()
        events, what = 0, ""
        prefix = ",".join([*parts, f"{number + 4096:08x}:128"])
        try:
            channel = rig.Channel((edge, self.deployment.front), timeout=12)
            try:
                channel.send("POST", "/blurb/x", {
                    "Host": "shop.example", "X-Carobtide-Request-Id": name,
                    "X-Carobtide-Model": MODEL, "X-Carobtide-Token-Counts": "900,60",
                    "X-Carobtide-Prompt-Prefix": prefix,
                    "X-Carobtide-Deadline-Ms": str(self.TIME_LIMIT_MS)},
                    json.dumps({"n": number}).encode())
                status, headers = channel.head()
                what = str(status)
                if status == 200:
                    for chunk in channel.chunks():
                        events += chunk.count(b"id: ")
                else:
                    what += (f" Retry-After {headers.get('retry-after')} " +
                             channel.body(headers).decode(errors="replace").strip())
            finally:
                channel.close()
        except OSError as error:
            what += f" {error}"
        self.record.write(f"{name} to {edge}: {what}, {events} events")
        with self.lock:
            kept.append((at, events > 0))

    def send_later(self, label, parts, kept):
        thread = threading.Thread(target=self.send, args=(label, parts, kept), daemon=True)
        thread.start()
        return thread

    def batch(self, count, label, parts, kept):
        threads = [self.send_later(label, parts, kept) for _ in range(count)]
        for thread in threads:
            thread.join()


def share(items):
    return sum(begun for _, begun in items) / max(len(items), 1)
