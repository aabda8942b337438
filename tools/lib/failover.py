"""Claims per second, their latency against a plain fsync, and failover time."""

import http.client
import json
import os
import pathlib
import statistics
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tests/e2e"))

from harness import CALLER_TOKEN, Cluster, make_bundle, wait_for  # noqa: E402

CLIENTS = 32
STEADY_S = 5
FSYNC_ROUNDS = 200


def plain_fsync_ms(folder):
    """Latencies of appending 200 bytes and syncing, on the daemons' disk."""
    path = folder / "fsync.probe"
    latencies = []
    with open(path, "ab", buffering=0) as file:
        for _ in range(FSYNC_ROUNDS):
            start = time.perf_counter()
            file.write(b"x" * 200)
            os.fdatasync(file.fileno())
            latencies.append(1000 * (time.perf_counter() - start))
    path.unlink()
    return latencies


class Client(threading.Thread):
    """Sends keyed orders one after the other, to any daemon that lives."""

    def __init__(self, cluster, index):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.index = index
        self.stopping = False
        self.done = []

    def run(self):
        number = 0
        connections = {}
        while not self.stopping:
            daemon = self.cluster.daemons[(self.index + number) % len(self.cluster.daemons)]
            number += 1
            try:
                connection = connections.get(daemon.name)
                if connection is None:
                    connection = http.client.HTTPConnection(
                        "127.0.0.1", daemon.callers, timeout=10)
                    connections[daemon.name] = connection
                start = time.perf_counter()
                connection.request("POST", "/services/orders/reserve", "{}", {
                    "Authorization": f"Bearer {CALLER_TOKEN}",
                    "Idempotency-Key": f"{self.index}-{number}-{time.time_ns()}"})
                response = connection.getresponse()
                response.read()
                if response.status == 200:
                    end = time.perf_counter()
                    self.done.append((end, 1000 * (end - start)))
            except (OSError, http.client.HTTPException):
                connections.pop(daemon.name, None)


def percentile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))]


def start(cluster):
    wait_for(cluster.leader, "a leader")
    cluster.standin("service", "--count", 3, "--pool", "desk", "--delay", "0ms")
    cluster.standin("target", "--pool", "engines")
    wait_for(lambda: len(cluster.targets()) == 4, "the targets")
    cluster.roll(make_bundle(models=1), "shop", 1)
    cluster.wait_reachable()


def longest_gap(clients, since):
    times = sorted(end for client in clients for end, _ in client.done if end >= since - 1)
    gaps = [(later - earlier, earlier) for earlier, later in zip(times, times[1:])]
    return max(gaps)[0]


def one_failover():
    with Cluster(domains=("a", "b", "c"), daemons=3, disks=3) as cluster:
        start(cluster)
        clients = [Client(cluster, index) for index in range(CLIENTS)]
        for client in clients:
            client.start()
        time.sleep(2)
        killed_at = time.perf_counter()
        cluster.leader().kill()
        wait_for(lambda: any(client.done and client.done[-1][0] > killed_at + 3
                             for client in clients), "commits after the kill")
        for client in clients:
            client.stopping = True
        return longest_gap(clients, killed_at)


def steady(count):
    with Cluster(domains=("a", "b", "c"), daemons=3, disks=3) as cluster:
        start(cluster)
        probe = plain_fsync_ms(cluster.folder)
        clients = [Client(cluster, index) for index in range(count)]
        for client in clients:
            client.start()
        time.sleep(1)
        begin = time.perf_counter()
        time.sleep(STEADY_S)
        end = time.perf_counter()
        for client in clients:
            client.stopping = True
        latencies = [ms for client in clients for at, ms in client.done if begin <= at < end]
        fsync = statistics.median(probe)
        print(f"plain fdatasync: median {fsync:.2f} ms, p99 {percentile(probe, 0.99):.2f} ms, "
              f"{1000 / fsync:.0f}/s")
        rate = len(latencies) / STEADY_S
        print(f"{count} clients, keyed orders: {rate:.0f}/s = {rate * fsync / 1000:.2f} of plain syncs a second; "
              f"median {statistics.median(latencies):.2f} ms = "
              f"{statistics.median(latencies) / fsync:.1f} syncs, "
              f"p99 {percentile(latencies, 0.99):.2f} ms", flush=True)


def main():
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    steady(1)
    steady(CLIENTS)
    gaps = [one_failover() for _ in range(runs)]
    print("time without a commit over a killed leader, s: "
          + " ".join(f"{gap:.2f}" for gap in gaps))
    print(f"median {statistics.median(gaps):.2f} s, worst {max(gaps):.2f} s over {runs} runs")


if __name__ == "__main__":
    main()
