"""One voter loses its disk while another restarts: nothing committed is lost.

The restarted voter has not heard a leader yet when the other asks whether the
group has any history; what its disk holds must count.
"""

import shutil

from harness import Cluster, make_bundle, wait_for


def main():
    with Cluster(domains=("a", "b", "c"), daemons=3, disks=3) as cluster:
        wait_for(cluster.leader, "a leader")
        cluster.standin("target", "--count", 2, "--pool", "engines")
        wait_for(lambda: len(cluster.targets()) == 2, "two targets")
        cluster.roll(make_bundle(services=False), "shop", 1)
        cluster.wait_reachable()
        epoch = cluster.daemons[0].status()["epoch"]
        first_ids = {item.name: item.status()["replica"] for item in cluster.daemons}

        for daemon in cluster.daemons:
            daemon.kill()
        wiped, restarted, late = cluster.daemons
        shutil.rmtree(wiped.data_dir)
        wiped.start()
        restarted.start()
        # Not enough for a leader: the question is asked before there is one.
        wait_for(lambda: restarted.status().get("has_replica"), "its replica to start")
        late.start()
        for daemon in cluster.daemons:
            wait_for(daemon.is_ready, f"{daemon.name} to be ready")
        status = wiped.status()
        assert status["replica"] != first_ids[wiped.name], "voted from a lost disk"
        wait_for(cluster.leader, "a leader")
        for daemon in cluster.daemons:
            wait_for(lambda: daemon.status().get("epoch", 0) >= epoch, "the epoch")


if __name__ == "__main__":
    main()
