"""Streams taken up at a front machine that was frozen while a newer version began to serve."""

import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.append(str(HERE.parent / "common-2"))
import rig  # noqa: E402

SERVICE = "notes"
STREAMS = 16
TIME_LIMIT_MS = 4000
FROZEN_S = 0.9
# Twice the longest time limit of a resumable route, and some more: a front machine has then
# watched for long enough to know all versions by itself.
WATCHED_S = 10.0
RELEASES = 5
DRAIN_S = 2.2


def config():
    return {
        "version": 7,
        "routes": [{"name": "note", "host": "shop.example", "pathPrefix": "/note/",
                    "kind": "streaming", "timeoutMs": TIME_LIMIT_MS, "sloMs": 300,
                    "priority": 1, "service": SERVICE, "maxAttempts": 2,
                    "resumable": True, "gapSloMs": 150}],
        "services": [{"name": name, "healthPath": "/healthz", "maxConns": 360,
                      "protocol": "h1", "tls": False} for name in (SERVICE,)],
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
        # The gap after which requesters abandon a stream.
        channel = rig.Channel((edge, self.deployment.front), timeout=2)
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
        self.read(edge, f"{self.name}-first", 3, {})

    def take_up(self, edge):
        if self.last is not None:
            self.read(edge, f"{self.name}-again", 10**6,
                      {"Last-Event-Id": str(self.last), "Resumes": f"{self.name}-first"})

    def versions(self):
        return [text.split()[1] for _, text in self.lines]


def start(functions):
    threads = [threading.Thread(target=function) for function in functions]
    for thread in threads:
        thread.start()
    return threads


def join(threads):
    for thread in threads:
        thread.join()


def run(record, deployments):
    deployment = rig.Deployment(record, controls=3, edges=2)
    deployments.append(deployment)
    for ip in deployment.controls + deployment.edges:
        deployment.start(ip)
    rig.StreamReplica.EVENTS = 24
    rig.StreamReplica.PAUSE_S = 0.08

    def replica(version):
        return rig.StreamReplica(deployment, record, SERVICE, f"i-{version}",
                                 f"{deployment.net}.{80 + version}", version=f"v{version}")
    serving = replica(1)
    time.sleep(1)
    deployment.put(config())
    deployment.wait_ready()
    mixed = begun = 0
    for version in range(2, 2 + RELEASES):
        time.sleep(WATCHED_S)
        newer = one_release(record, deployment, lambda: replica(version))
        begun += newer[0]
        mixed += newer[1]
        # The old one drains, leaves and ends.
        serving.drain()
        time.sleep(DRAIN_S)
        serving.deregister()
        serving.end()
        serving = newer[2]
    record.say(f"in all {begun} streams of a new version were taken up, {mixed} hold events of "
               "two software versions")
    if begun < 3 * RELEASES:
        raise rig.CannotRun("too few streams began at the new versions")
    return 1 if mixed > 2 else 0


def one_release(record, deployment, start_newer):
    """Streams of the new version that were taken up, mixed ones, and the new replica."""
    first, second = deployment.edges
    frozen = deployment.processes[second]
    began = time.monotonic()
    if rig.TROUBLE:
        frozen.send_signal(signal.SIGSTOP)
        record.say(f"front machine {second} freezes")
    newer = start_newer()
    record.say(f"a replica with version {newer.version} starts")
    time.sleep(0.12)
    items = [Requester(deployment, record, f"{newer.version}-{n}") for n in range(STREAMS)]
    # The requesters' own network breaks their channels; they turn to the other daemon.
    join(start([lambda it=it: it.begin(first) for it in items]))
    again = start([lambda it=it: it.take_up(second) for it in items])
    if rig.TROUBLE:
        time.sleep(max(began + FROZEN_S - time.monotonic(), 0.05))
        frozen.send_signal(signal.SIGCONT)
        record.say(f"it wakes again after {time.monotonic() - began:.2f} s")
    join(again)
    new = [it for it in items if it.versions()[:1] == [newer.version]]
    mixed = [it for it in items if len(set(it.versions())) > 1]
    whole = [it for it in items if it.end == "whole"]
    record.say(f"{len(items)} streams taken up, {len(new)} of them begun by {newer.version}; "
               f"{len(whole)} end as whole, {len(mixed)} hold events of two software versions")
    return len(new), len(mixed), newer


rig.play(HERE / "record.txt", run)
