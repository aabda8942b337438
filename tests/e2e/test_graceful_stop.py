"""SIGTERM cuts off nothing: a long stream started before it arrives whole."""

from harness import Cluster, Stream, make_bundle, wait_for

TOKENS = 200
RATE = 20  # tokens a second: the stream takes ten seconds


def main():
    with Cluster(domains=("a", "b", "c"), daemons=3, disks=3) as cluster:
        leader = wait_for(cluster.leader, "a leader")
        cluster.standin("target", "--count", 2, "--pool", "engines",
                        "--tokens-per-second", RATE)
        wait_for(lambda: len(cluster.targets()) == 2, "two targets")
        cluster.roll(make_bundle(models=1, services=False), "shop", 1)
        cluster.wait_reachable()

        stream = Stream(leader, "model-0", TOKENS)
        stream.start()
        stream.first.wait()
        assert stream.is_alive(), "the stream ended before the stop"
        leader.terminate()
        wait_for(lambda: not leader.is_ready(), "/readyz to say no")
        successor = wait_for(
            lambda: (found := cluster.leader()) is not leader and found,
            "another leader")
        assert successor is not leader
        stream.join()
        assert stream.is_whole, (stream.error, stream.text[-200:])
        assert stream.tokens == TOKENS, stream.tokens
        wait_for(lambda: leader.process.poll() is not None, "the daemon to exit")
        assert leader.process.returncode == 0, leader.process.returncode


if __name__ == "__main__":
    main()
