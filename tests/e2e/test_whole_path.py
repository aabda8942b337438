"""Six daemons over three failure domains serve a bundle end to end."""

from harness import Cluster, make_bundle, request, wait_for


def main():
    with Cluster(domains=("a", "b", "c"), daemons=6, disks=3) as cluster:
        wait_for(cluster.leader, "a leader")
        cluster.standin("target", "--count", 6, "--failure-domains", "a", "b", "c",
                        "--pool", "engines", "--tokens-per-second", 500)
        cluster.standin("service", "--count", 3, "--failure-domains", "a", "b", "c",
                        "--pool", "desk")
        for daemon in cluster.daemons:
            wait_for(lambda: len(cluster.targets(daemon)) == 9, "nine targets")
        cluster.roll(make_bundle(), "shop", 1)
        cluster.wait_reachable()

        for daemon in cluster.daemons:
            answer = daemon.complete("model-1", "which lug?")
            assert answer.status == 200, answer.body
            assert answer.outcome == "ran"
            stream = daemon.complete("model-2", "which lug?", stream=True)
            assert stream.body.rstrip().endswith("data: [DONE]"), stream.body
            assert daemon.complete("absent", "x").status == 404
            anonymous = request(daemon.callers, "POST", "/v1/chat/completions", "{}")
            assert anonymous.status == 401
            assert anonymous.outcome == "not-run"

        # A key's second use is replayed, whichever daemon it comes to.
        bodies = set()
        for daemon in cluster.daemons:
            answer = daemon.call("/services/orders/reserve", '{"lot":7}', key="k")
            assert answer.status == 200, answer.body
            bodies.add(answer.body)
        assert len(bodies) == 1, bodies
        other = cluster.daemons[3].call("/services/orders/reserve", '{"lot":8}', key="k")
        assert other.status == 409, other.body
        keyless = cluster.daemons[4].call("/services/orders/reserve", "{}")
        assert keyless.status == 400 and keyless.outcome == "not-run", keyless.body

        events = cluster.daemons[0].operate("GET", "/timeline?since=0").json()["events"]
        assert any(event["step"] == "bundle-in-force" for event in events)


if __name__ == "__main__":
    main()
