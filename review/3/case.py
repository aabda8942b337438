"""All daemons are killed at one moment while a release ends."""

import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.append(str(FOLDER.parent / "common"))
from rig import BROKEN, HELD, CannotRun, Replica, has_trouble, run  # noqa: E402

EVENTS, PAUSE_S = 47, 0.2
TIME_LIMIT_S = 15.0
STREAMS = 40
DOWN_S = 0.9
DRAIN_S = 2.0


def config(version=3):
    return {"version": version,
            "routes": [{"name": "batch", "host": "shop.example", "pathPrefix": "/batch/",
                        "kind": "streaming", "timeoutMs": 15000, "sloMs": 2500,
                        "gapSloMs": 200, "priority": 1, "service": "atelier",
                        "maxAttempts": 2, "resumable": True}],
            "services": [{"name": "atelier", "healthPath": "/healthz", "maxConns": 230}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class StreamReplica(Replica):
    """A replica of one software version; it goes on behind Last-Event-Id."""

    def __init__(self, rig, name, ip, version):
        self.version = version
        super().__init__(rig, name, "atelier", ip, slots=32, misbehave=StreamReplica.stream)

    def ping(self, **other):
        return super().ping(version=self.version, **other)

    def stream(self, channel, headers):
        request = headers["x-carobtide-request-id"]
        after = headers.get("last-event-id")
        self.rig.record(f"replica {self.name} ({self.version}): stream {request} goes on "
                        f"after {after}")
        channel.sendall(f"HTTP/1.1 200 OK\r\nX-Carobtide-Request-Id: {request}\r\n"
                        f"X-Carobtide-Response-Stamp: {self.name}.{request}\r\n"
                        "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(0 if after is None else int(after) + 1, EVENTS):
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            channel.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(PAUSE_S)
        channel.sendall(b"0\r\n\r\n")
        return True

    def leave_at_once(self):
        """Planned: says first that it is gone, serves on for drainMs, exits."""
        self.is_beating = False
        to = self.tell(f"/-/Instances.Deregister/{self.name}", {"born": self.born})
        self.rig.record(f"replica {self.name}: deregistered, confirmed by {to}")

        def end():
            time.sleep(DRAIN_S + 0.2)
            self.rig.record(f"replica {self.name}: exits")
            self.close()
        threading.Thread(target=end, daemon=True).start()

    is_beating = True

    def beat(self):
        while self.is_up and self.is_beating:
            self.tell(f"/-/Instances.Heartbeat/{self.name}", self.ping())
            time.sleep(self.rig.HEARTBEAT_MS / 1000)


class Stream(threading.Thread):
    """One requester's stream, taken up after a broken channel."""

    MOST_TRIES = 6

    def __init__(self, rig, number):
        super().__init__(daemon=True)
        self.rig, self.number = rig, number
        self.versions, self.last, self.first_try = [], None, None
        self.is_whole = False

    def run(self):
        edges = self.rig.of_role("edge")
        limit = time.monotonic() + TIME_LIMIT_S
        for turn in range(self.MOST_TRIES):
            left = limit - time.monotonic()
            if left <= 0.1 or self.is_whole:
                return
            edge = edges[(self.number + turn) % len(edges)]
            request = f"s{self.number}-{turn}"
            pause = 0.5
            try:
                end, pause = self.attempt(edge, request, left)
            except (OSError, ValueError) as error:
                end = f"broken channel: {error!r}"
            self.rig.record(f"requester: {request} at {edge.name}: {end}; has events up to "
                            f"{self.last} of {sorted(set(self.versions))}")
            time.sleep(min(pause, left / 3))

    def attempt(self, edge, request, left):
        with socket.create_connection(self.rig.front(edge), timeout=1) as channel:
            channel.settimeout(left)
            taken_up = "" if self.last is None else (
                f"Last-Event-Id: {self.last}\r\nResumes: {self.first_try}\r\n")
            channel.sendall(f"POST /batch/x HTTP/1.1\r\nHost: shop.example\r\n"
                            f"X-Carobtide-Request-Id: {request}\r\n"
                            f"X-Carobtide-Deadline-Ms: {int(left * 1000)}\r\n{taken_up}"
                            "Content-Length: 2\r\n\r\n{}".encode())
            source = channel.makefile("rb")
            status = int(source.readline().split()[1])
            headers = {}
            while (line := source.readline().strip()):
                name, _, value = line.decode().partition(":")
                headers[name.lower()] = value.strip()
            if status != 200:
                return f"{status}", float(headers.get("retry-after", 0.5))
            text = ""
            while True:
                size = int(source.readline(), 16)
                text += source.read(size + 2)[:size].decode()
                while "\n\n" in text:
                    event, _, text = text.partition("\n\n")
                    fields = dict(line.split(": ") for line in event.splitlines())
                    self.last = fields["id"]
                    self.versions.append(fields["data"])
                    self.first_try = self.first_try or request
                if size == 0:
                    self.is_whole = True
                    return "whole", 0


def case(rig, record):
    rig.put(config())
    # A release has come half way: two versions serve side by side.
    old = [StreamReplica(rig, f"i-old-{n}", f"{rig.net}.{81 + n}", "v1") for n in range(2)]
    new = [StreamReplica(rig, f"i-new-{n}", f"{rig.net}.{91 + n}", "v2") for n in range(2)]
    rig.await_ready()
    time.sleep(3)
    # The other half: new ones start first, old ones leave one after the other.
    new += [StreamReplica(rig, f"i-new-{n}", f"{rig.net}.{91 + n}", "v2") for n in (2, 3)]
    record("release: two more replicas of v2 have started")
    time.sleep(2)
    old[0].leave_at_once()
    time.sleep(1)
    streams = [Stream(rig, n) for n in range(STREAMS)]
    for stream in streams:
        stream.start()
    time.sleep(1)
    old[1].leave_at_once()
    time.sleep(0.5)
    rig.put(config(version=5))
    if has_trouble():
        machines = list(rig.machines.values())
        for machine in machines:
            machine.process, process = None, machine.process
            process.kill()
            machine.killed = process
        for machine in machines:
            machine.killed.wait()
        record(f"platform: all {len(machines)} processes are killed, back in {DOWN_S} s")
        time.sleep(DOWN_S)
        for machine in machines:
            rig.start(machine)
    for stream in streams:
        stream.join(TIME_LIMIT_S + 2)
    del new
    begun = sum("v1" in stream.versions for stream in streams)
    mixed = [stream for stream in streams if len(set(stream.versions)) > 1]
    record(f"streams: {STREAMS}, with events of v1: {begun}, whole: "
           f"{sum(s.is_whole for s in streams)}, with events of both versions: {len(mixed)}")
    if begun < 6:
        raise CannotRun("too few streams began at the old version")
    return BROKEN if len(mixed) > 2 else HELD


if __name__ == "__main__":
    run(FOLDER, case)
