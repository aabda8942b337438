"""Control traffic, processor time and memory of a daemon by the daemons' number."""

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tests/e2e"))

from harness import Cluster, make_bundle, request, wait_for  # noqa: E402

IDLE_S = 10
TARGETS = 12


def gauges(daemon):
    text = request(daemon.operators, "GET", "/metrics").body
    values = {}
    for line in text.splitlines():
        if not line.startswith("#") and "{" not in line:
            name, value = line.split()
            values[name] = float(value)
    return values


def cpu_seconds(daemon):
    fields = pathlib.Path(f"/proc/{daemon.process.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def resident_mb(daemon):
    for line in pathlib.Path(f"/proc/{daemon.process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def epoch_spread(cluster, version):
    """Seconds from the roll's answer until the last daemon has the epoch."""
    before = cluster.daemons[0].status()["epoch"]
    cluster.roll(make_bundle(version=version, services=False), "shop", version)
    start = time.monotonic()
    behind = list(cluster.daemons)
    while behind:
        behind = [item for item in behind if item.status().get("epoch", 0) <= before]
    return time.monotonic() - start


def measure(count):
    with Cluster(domains=("a", "b", "c"), daemons=count, disks=3,
                 extra_settings={"threads": 1}) as cluster:
        wait_for(cluster.leader, "a leader")
        # Targets announce to three daemons, which tell the others.
        everyone = cluster.daemons
        cluster.daemons = everyone[:3]
        cluster.standin("target", "--count", TARGETS, "--pool", "engines")
        cluster.daemons = everyone
        for daemon in cluster.daemons:
            wait_for(lambda: len(cluster.targets(daemon)) == TARGETS, "the targets")
        spread = epoch_spread(cluster, 1)
        cluster.wait_reachable()
        leader = cluster.leader()
        roles = {"leader": [leader],
                 "voter": [item for item in cluster.daemons[:3] if item is not leader],
                 "other": cluster.daemons[3:]}
        start = {item.name: (gauges(item), cpu_seconds(item)) for item in cluster.daemons}
        time.sleep(IDLE_S)
        end = {item.name: (gauges(item), cpu_seconds(item)) for item in cluster.daemons}
        for role, daemons in roles.items():
            if not daemons:
                continue

            def mean(function):
                return sum(function(item) for item in daemons) / len(daemons)

            def rate(name):
                return mean(lambda item: end[item.name][0][name] - start[item.name][0][name]) / IDLE_S

            sent = rate("carobtide_peer_bytes_sent") / 1024
            messages = rate("carobtide_peer_messages_sent")
            cpu = 100 * mean(lambda item: end[item.name][1] - start[item.name][1]) / IDLE_S
            print(f"{count:8} {role:7} {sent:12.2f} {messages:14.1f} {cpu:8.2f} "
                  f"{mean(resident_mb):8.1f} {spread:10.2f}", flush=True)


def main():
    counts = [int(item) for item in sys.argv[1:]] or [6, 12, 25, 50, 100]
    print(f"{'DAEMONS':>8} {'ROLE':7} {'SENT KIB/S':>12} {'MESSAGES/S':>14} {'CPU %':>8} "
          f"{'RSS MB':>8} {'EPOCH S':>10}")
    for count in counts:
        measure(count)


if __name__ == "__main__":
    main()
