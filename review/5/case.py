"""Replicas whose bytes come without end, and the memory of the edges."""

import collections
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.append(str(FOLDER.parent / "common"))
from rig import BROKEN, HELD, CannotRun, Replica, Requests, has_trouble, run  # noqa: E402

MEMORY_MB = 260          # limits.memoryMb of a front machine
LINK_BYTES_PER_S = 125e6  # limits.linkMbps of a front machine: 1,000
PIECE = b"y" * 250_000
REPLICAS, FAULTY = 5, 3  # garble: share 0.6
EVERY = 34               # garble: x 0.03; each 34th answer of a faulty replica
FAULTY_NAMES = {f"i-{n}" for n in range(FAULTY)}
PER_S = 20
LENGTH_S = 90


def config():
    return {"version": 3,
            "routes": [{"name": "draft", "host": "shop.example", "pathPrefix": "/draft/",
                        "kind": "streaming", "timeoutMs": 12000, "sloMs": 400,
                        "gapSloMs": 200, "priority": 1, "service": "atelier",
                        "maxAttempts": 1}],
            "services": [{"name": "atelier", "healthPath": "/healthz", "maxConns": 230}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Endless:
    """Hands out bytes that are no answer until the caller closes."""

    def __init__(self, record, how):
        self.record, self.how = record, how
        self.counts = collections.Counter()
        self.lock = threading.Lock()
        self.spoilt = 0

    def __call__(self, replica, channel, headers):
        with self.lock:
            self.counts[replica.name] += 1
            is_spoilt = (has_trouble() and replica.name in FAULTY_NAMES
                         and self.counts[replica.name] % EVERY == 0)
            self.spoilt += is_spoilt
        request = headers["x-carobtide-request-id"]
        head = f"HTTP/1.1 200 -\r\nX-Carobtide-Request-Id: {request}\r\n" \
               f"X-Carobtide-Response-Stamp: {replica.name}.{request}\r\n" \
               f"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        if not is_spoilt:
            channel.sendall(head.encode())
            for number in range(8):
                event = f"id: {number}\ndata: x\n\n".encode()
                channel.sendall(b"%x\r\n%s\r\n" % (len(event), event))
                time.sleep(0.02)
            channel.sendall(b"0\r\n\r\n")
            return True
        begun, sent = time.monotonic(), 0
        try:
            if self.how == "chunk":
                channel.sendall(head.encode() + b"8;")
            else:
                channel.sendall(head.replace("200 -", "500 -").encode())
            while True:
                if self.how == "chunk":
                    channel.sendall(PIECE)
                else:
                    channel.sendall(b"%x\r\n%s\r\n" % (len(PIECE), PIECE))
                sent += len(PIECE)
                ahead = sent / LINK_BYTES_PER_S - (time.monotonic() - begun)
                if ahead > 0:
                    time.sleep(ahead)
        except OSError:
            self.record(f"replica {replica.name}: closed by the caller after "
                        f"{sent // 1000000} MB for {request}")
        return True


def case(rig, record):
    rig.put(config())
    how = sys.argv[1] if len(sys.argv) > 1 else "chunk"
    endless = Endless(record, how)
    replicas = [Replica(rig, f"i-{n}", "atelier", f"{rig.net}.{81 + n}", slots=32,
                        misbehave=endless) for n in range(REPLICAS)]
    rig.await_ready()
    time.sleep(2)
    requests = Requests(rig)
    edges = rig.of_role("edge")
    limit = time.monotonic() + LENGTH_S
    turn = 0
    while time.monotonic() < limit and min(edge.ends for edge in edges) < 3:
        turn += 1
        threading.Thread(target=requests.ask, daemon=True, args=(
            edges[turn % len(edges)], "POST", "/draft/x", 12000)).start()
        time.sleep(1 / PER_S)
    time.sleep(1)
    for machine in rig.machines.values():
        record(f"{machine.name}: ended by itself {machine.ends} times, at most "
               f"{machine.peak >> 20} MB")
    record(f"answers spoilt: {endless.spoilt} of {endless.counts.total()}")
    return BROKEN if sum(edge.ends >= 3 for edge in edges) >= 2 else HELD


if __name__ == "__main__":
    run(FOLDER, case, memory_mb=MEMORY_MB)
