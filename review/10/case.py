"""Streams that begin at a replica which came back with other software under its name."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.append(str(HERE.parent / "common-2"))
import rig  # noqa: E402

SERVICE = "notes"
STREAMS = 12
TIME_LIMIT_MS = 20000
# Between two batches of requests.
QUIET_S = 6.0
# The replica is back after some seconds, and pings about every `heartbeatMs`.
DOWN_S = 1.5
FIRST_PING_S = 1.0


def config():
    return {
        "version": 7,
        "routes": [{"name": "note", "host": "shop.example", "pathPrefix": "/note/",
                    "kind": "streaming", "timeoutMs": TIME_LIMIT_MS, "sloMs": 3000,
                    "priority": 1, "service": SERVICE, "maxAttempts": 2,
                    "resumable": True, "gapSloMs": 150}],
        "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 360,
                      "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Requester:
    """Reads a stream and takes it up at another daemon after its channel broke."""

    def __init__(self, deployment, record, name):
        self.deployment, self.record, self.name = deployment, record, name
        self.lines = []
        self.last = None
        self.end = ""

    def read(self, edge, attempt, until, headers):
        channel = rig.Channel((edge, self.deployment.front), timeout=12)
        try:
            self.record.write(f"sent {attempt} to {edge}, after event {self.last}")
            channel.send("POST", "/note/x", {
                "Host": "shop.example", "X-Carobtide-Request-Id": attempt,
                "X-Carobtide-Deadline-Ms": str(TIME_LIMIT_MS), **headers}, b"{}")
            status, answered = channel.head()
            if status != 200:
                self.end = f"{status} {channel.body(answered).decode().strip()}"
                return
            for chunk in channel.chunks():
                for line in chunk.decode().splitlines():
                    if line.startswith("id: "):
                        self.last = int(line[4:])
                    elif line.startswith("data: "):
                        self.lines.append((self.last, line[6:]))
                if len(self.lines) >= until:
                    self.end = "its channel breaks"
                    return
            self.end = "whole"
        except OSError as error:
            self.end = str(error)
        finally:
            channel.close()
            self.record.write(f"{attempt}: {self.end}; events {self.lines[0:1]} to "
                              f"{self.lines[-1:]}")

    def begin(self, edge):
        self.read(edge, f"{self.name}-first", 8, {})

    def take_up(self, edge):
        if self.last is not None:
            self.read(edge, f"{self.name}-again", 10**6,
                      {"Last-Event-Id": str(self.last), "Resumes": f"{self.name}-first"})

    def versions(self):
        return {text.split()[1] for _, text in self.lines}


def together(functions):
    threads = [threading.Thread(target=function) for function in functions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def batch(deployment, record, label):
    first, second = deployment.edges
    items = [Requester(deployment, record, f"{label}-{n}") for n in range(STREAMS)]
    together([lambda it=it: it.begin(second) for it in items])
    time.sleep(1.0)
    together([lambda it=it: it.take_up(first) for it in items])
    mixed = [it for it in items if len(it.versions()) > 1]
    whole = [it for it in items if it.end == "whole"]
    record.say(f"{label}: {len(items)} streams, {len(whole)} whole, {len(mixed)} with events "
               "of two software versions")
    return mixed


def run(record, deployments):
    deployment = rig.Deployment(record, controls=3, edges=2)
    deployments.append(deployment)
    for ip in deployment.controls + deployment.edges:
        deployment.start(ip)
    make = rig.StreamReplica
    make(deployment, record, SERVICE, "i-1", f"{deployment.net}.81")
    changed = make(deployment, record, SERVICE, "i-2", f"{deployment.net}.82")
    time.sleep(1)
    deployment.put(config())
    deployment.wait_ready()
    time.sleep(9)
    batch(deployment, record, "before")
    time.sleep(QUIET_S)
    if rig.TROUBLE:
        changed.end()
        record.say("replica i-2 crashes")
        time.sleep(DOWN_S)
        make(deployment, record, SERVICE, "i-2", f"{deployment.net}.82", changed.port,
             version="v2", first_beat_after=FIRST_PING_S)
        record.say("it starts again under its name, with version v2")
    time.sleep(0.2)
    mixed = batch(deployment, record, "after")
    return 1 if len(mixed) > 2 else 0


rig.play(HERE, run)
