"""A leaving target gets no new work; its work in flight is finished."""

import signal

from harness import Cluster, Stream, make_bundle, wait_for


def main():
    with Cluster(domains=("a", "b"), daemons=2, disks=1) as cluster:
        wait_for(cluster.leader, "a leader")
        bundle = make_bundle(models=2, services=False)
        leaving = cluster.standin("target", "--pool", "engines", "--name", "old",
                                  "--tokens-per-second", 20)
        wait_for(lambda: len(cluster.targets()) == 1, "one target")
        cluster.roll(bundle, "shop", 1)
        cluster.wait_reachable()
        stream = Stream(cluster.daemons[1], "model-0", 100)
        stream.start()
        stream.first.wait()
        cluster.standin("target", "--pool", "engines", "--name", "new",
                        "--tokens-per-second", 500)
        wait_for(lambda: len(cluster.targets()) == 2, "a second target")
        leaving.send_signal(signal.SIGTERM)

        def moved():
            new = [item for item in cluster.targets() if item["target"].startswith("new")]
            held = {entry["model"] for entry in new[0]["resident"]}
            return held == {"model-0", "model-1"}

        wait_for(moved, "the models to be moved")
        stream.join()
        assert stream.is_whole and stream.tokens == 100, (stream.error, stream.tokens)
        wait_for(lambda: leaving.poll() is not None, "the target to exit")
        assert leaving.returncode == 0, leaving.returncode
        for daemon in cluster.daemons:
            for model in ("model-0", "model-1"):
                answer = daemon.complete(model, "still there?")
                assert answer.status == 200, answer.body


if __name__ == "__main__":
    main()
