"""A request that crashes each target that runs it is quarantined."""

import http.client

from harness import Cluster, Stream, make_bundle, wait_for

POISON = "please crash-the-target now"


def send(daemon, text):
    try:
        return daemon.complete("model-0", text).status
    except (OSError, http.client.HTTPException):
        return 0


def main():
    with Cluster(domains=("a", "b"), daemons=2, disks=1) as cluster:
        wait_for(cluster.leader, "a leader")
        cluster.standin("target", "--count", 4, "--pool", "engines",
                        "--tokens-per-second", 100, "--restart-delay", "1s",
                        "--load-time", "100ms")
        wait_for(lambda: len(cluster.targets()) == 4, "four targets")
        cluster.roll(make_bundle(models=2, services=False), "shop", 1)
        cluster.wait_reachable()

        first = {item["target"]: item["incarnation"] for item in cluster.targets()}
        statuses = []
        for attempt in range(12):
            statuses.append(send(cluster.daemons[attempt % 2], POISON))
            if statuses[-1] == 422:
                break
        assert statuses[-1] == 422, statuses
        wait_for(lambda: send(cluster.daemons[0], POISON) == 422
                 and send(cluster.daemons[1], POISON) == 422,
                 "the quarantine on both daemons")
        wait_for(lambda: all(item["state"] == "live" for item in cluster.targets()),
                 "the targets to come back")
        now = {item["target"]: item["incarnation"] for item in cluster.targets()}
        crashes = sum(now[name] != first[name] for name in first)
        print(f"statuses {statuses}, {crashes} targets crashed")
        assert crashes <= 2, f"{crashes} targets crashed"

        cluster.wait_reachable()
        for daemon in cluster.daemons:
            assert send(daemon, "an innocent request") == 200


if __name__ == "__main__":
    main()
