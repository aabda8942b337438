"""Targets die under streams: each stream goes on elsewhere, without a seam."""

from harness import Cluster, Stream, make_bundle, wait_for

TOKENS = 120
STREAMS = 4
# The longest pause that callers of streams accept, in seconds.
PAUSE_OBJECTIVE = 0.2


def main():
    with Cluster(domains=("a", "b"), daemons=2, disks=1) as cluster:
        wait_for(cluster.leader, "a leader")
        targets = [
            cluster.standin("target", "--pool", "engines", "--name", f"engine-{index}",
                            "--tokens-per-second", 30, "--seed", index)
            for index in range(2)
        ]
        wait_for(lambda: len(cluster.targets()) == 2, "two targets")
        cluster.roll(make_bundle(models=1, services=False, min_replicas=2), "shop", 1)
        cluster.wait_reachable()
        wait_for(lambda: all(item["resident"] for item in cluster.targets()),
                 "both targets to hold the model")

        # What the answer should be, from a stream that nothing disturbs.
        calm = Stream(cluster.daemons[0], "model-0", TOKENS)
        calm.start()
        calm.join()
        assert calm.is_whole and calm.tokens == TOKENS

        streams = [Stream(cluster.daemons[index % 2], "model-0", TOKENS)
                   for index in range(STREAMS)]
        for stream in streams:
            stream.start()
        for stream in streams:
            stream.first.wait()
        assert all(stream.is_alive() for stream in streams)
        targets[0].kill()
        for stream in streams:
            stream.join()
            assert stream.is_whole, (stream.error, stream.text[-300:])
            assert stream.content == calm.content
            assert stream.longest_pause <= PAUSE_OBJECTIVE, stream.longest_pause

        # With no target left, a stream is cut at once and does not look whole.
        last = Stream(cluster.daemons[0], "model-0", TOKENS)
        last.start()
        last.first.wait()
        targets[1].kill()
        last.join()
        assert not last.is_whole
        assert last.tokens < TOKENS
        assert last.longest_pause <= PAUSE_OBJECTIVE, last.longest_pause
        print("longest pauses", [round(stream.longest_pause, 3)
                                 for stream in [calm, *streams, last]])


if __name__ == "__main__":
    main()
