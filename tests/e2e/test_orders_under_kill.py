"""Daemons killed while orders run: no key runs twice, no `not-run` ran."""

import http.client
import json
import random
import threading
import time

from harness import Cluster, make_bundle, request, wait_for

SEED = 11
CALLERS = 6
ORDERS_PER_CALLER = 25
KILLS = 4
SERVICES = 3


class Caller(threading.Thread):
    """Sends orders, each again until it has a whole answer."""

    def __init__(self, cluster, index):
        super().__init__()
        self.cluster = cluster
        self.index = index
        self.random = random.Random(SEED + index)
        self.only_not_run = set()
        self.answered = set()

    def run(self):
        for number in range(ORDERS_PER_CALLER):
            key = f"order-{self.index}-{number}"
            outcomes = []
            for _ in range(60):
                outcome = self.send(key)
                outcomes.append(outcome)
                if outcome in ("ran", "unknown"):
                    break
                time.sleep(0.1)
            if all(outcome == "not-run" for outcome in outcomes):
                self.only_not_run.add(key)
            if outcomes[-1] == "ran":
                self.answered.add(key)

    def send(self, key):
        daemon = self.random.choice(self.cluster.daemons)
        try:
            answer = daemon.call("/services/orders/reserve", '{"lot":1}', key=key)
        except (OSError, http.client.HTTPException):
            return "lost"
        return answer.outcome


def service_counts(cluster):
    """Runs by key; None until the daemon asked, which may have been killed
    last, is up and has heard of every service."""
    try:
        targets = cluster.targets()
    except (OSError, http.client.HTTPException):
        return None
    services = [target for target in targets if target["kind"] == "service"]
    if len(services) < SERVICES:
        return None
    counts = {}
    for target in services:
        port = int(target["address"].rsplit(":", 1)[1])
        body = json.loads(request(port, "GET", "/counts").body)
        for key, runs in body["by_key"].items():
            counts[key] = counts.get(key, 0) + runs
    return counts


def main():
    choice = random.Random(SEED)
    with Cluster(domains=("a", "b", "c"), daemons=5, disks=3) as cluster:
        wait_for(cluster.leader, "a leader")
        cluster.standin("service", "--count", SERVICES, "--failure-domains", "a", "b", "c",
                        "--pool", "desk", "--delay", "20ms")
        cluster.standin("target", "--pool", "engines")
        wait_for(lambda: len(cluster.targets()) == 4, "four targets")
        cluster.roll(make_bundle(models=1), "shop", 1)
        cluster.wait_reachable()

        callers = [Caller(cluster, index) for index in range(CALLERS)]
        for caller in callers:
            caller.start()
        for _ in range(KILLS):
            time.sleep(1)
            victim = cluster.leader() or choice.choice(cluster.daemons)
            victim.kill()
            time.sleep(1)
            victim.start()
        for caller in callers:
            caller.join()

        counts = wait_for(lambda: service_counts(cluster), "the services' counts")
        twice = {key: runs for key, runs in counts.items() if runs > 1}
        assert not twice, f"ran more than once: {twice}"
        for caller in callers:
            ran_anyway = caller.only_not_run & counts.keys()
            assert not ran_anyway, f"said not-run, yet ran: {ran_anyway}"
            missing = caller.answered - counts.keys()
            assert not missing, f"answered, yet never ran: {missing}"
        answered = sum(len(caller.answered) for caller in callers)
        print(f"{answered} of {CALLERS * ORDERS_PER_CALLER} orders answered, "
              f"{len(counts)} keys ran")
        assert answered > 0


if __name__ == "__main__":
    main()
