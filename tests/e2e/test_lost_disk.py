"""A disk is lost, then a second VM: nothing committed is lost or reverts."""

import shutil

from harness import Cluster, make_bundle, wait_for


def epoch_everywhere(cluster, epoch):
    running = [item for item in cluster.daemons if item.process.poll() is None]
    return all(item.status().get("epoch", 0) >= epoch for item in running)


def main():
    with Cluster(domains=("a", "b", "c"), daemons=4, disks=4) as cluster:
        wait_for(cluster.leader, "a leader")
        cluster.standin("target", "--count", 2, "--pool", "engines")
        wait_for(lambda: len(cluster.targets()) == 2, "two targets")
        cluster.roll(make_bundle(version=1, services=False), "shop", 1)
        cluster.wait_reachable()
        first = cluster.leader().status()["epoch"]

        victim = next(item for item in cluster.daemons if item is not cluster.leader())
        victim.kill()
        shutil.rmtree(victim.data_dir)
        wait_for(cluster.leader, "a leader")
        victim.start()
        wait_for(victim.is_ready, "the daemon without its old disk")
        members = cluster.leader().operate("GET", "/members").json()["members"]
        old = next(item["replica"] for item in members if item["daemon"] == victim.name)
        wait_for(lambda: victim.status().get("replica") not in (None, 0, old),
                 "a new replica id")
        wait_for(lambda: epoch_everywhere(cluster, first), "the epoch everywhere")

        bundle = make_bundle(version=2, services=False)
        wait_for(lambda: cluster.leader(), "a leader")
        cluster.roll(bundle, "shop", 2)
        second = wait_for(
            lambda: (value := cluster.daemons[0].status().get("epoch", 0)) > first
            and value, "the second epoch")
        wait_for(lambda: epoch_everywhere(cluster, second), "the second epoch everywhere")

        # The group repairs itself; then a second VM is lost for good.
        def repaired():
            leader = cluster.leader()
            members = leader and leader.operate("GET", "/members").json()["members"]
            voters = [item for item in members or [] if item["role"] == "voter"]
            return len(voters) == 3 and all(item["replica"] != old for item in members)

        wait_for(repaired, "the lost replica to be replaced")
        lost = next(item for item in cluster.daemons
                    if item not in (victim, cluster.daemons[0]))
        lost.kill()
        wait_for(cluster.leader, "a leader without the second VM")
        cluster.roll(make_bundle(version=3, services=False), "shop", 3)
        second = wait_for(
            lambda: (value := cluster.daemons[0].status().get("epoch", 0)) > second
            and value, "the third epoch")
        lost.start()

        # Every process restarts: the second bundle is in force again.
        for daemon in cluster.daemons:
            daemon.kill()
        for daemon in cluster.daemons:
            daemon.start()
        for daemon in cluster.daemons:
            wait_for(daemon.is_ready, f"{daemon.name} to be ready again")
        wait_for(lambda: epoch_everywhere(cluster, second), "the epoch after the restart")


if __name__ == "__main__":
    main()
