"""A domain cut off from the majority goes on serving what it can.

Two of three voters are frozen, which is what the third sees of a partition.
"""

from harness import Cluster, make_bundle, wait_for


def main():
    with Cluster(domains=("a", "b", "c"), daemons=3, disks=3) as cluster:
        wait_for(cluster.leader, "a leader")
        cluster.standin("target", "--count", 3, "--failure-domains", "a", "b", "c",
                        "--pool", "engines", "--tokens-per-second", 500)
        cluster.standin("service", "--count", 3, "--failure-domains", "a", "b", "c",
                        "--pool", "desk")
        wait_for(lambda: len(cluster.targets()) == 6, "six targets")
        cluster.roll(make_bundle(models=2), "shop", 1)
        cluster.wait_reachable()
        alone = cluster.daemons[0]
        others = cluster.daemons[1:]
        epoch = alone.status()["epoch"]
        for daemon in others:
            daemon.pause()
        wait_for(lambda: not alone.status()["has_lease"], "the lease to lapse")

        answer = alone.complete("model-0", "which lug?")
        assert answer.status == 200, answer.body
        order = alone.call("/services/orders/reserve", '{"lot":7}', key="cut-off")
        assert order.status == 503, order.body
        assert order.outcome == "not-run", order.outcome
        assert int(order.headers["retry-after"]) > 0
        # 503: certainly not committed. 504: it reached a frozen leader, which
        # may commit it later; then the answer has to say so.
        second = make_bundle(models=2, version=2)
        refused = alone.operate("POST", "/bundles", second)
        code = refused.json()["error"]["code"]
        assert (refused.status, code) in ((503, "no quorum"), (504, "outcome unknown")), refused.body

        for daemon in others:
            daemon.resume()
        wait_for(cluster.leader, "a leader after the partition")
        for daemon in cluster.daemons:
            assert daemon.status()["epoch"] >= epoch

        # Either way a resend is safe and gets the one answer there is.
        def submitted():
            answers = [item.operate("POST", "/bundles", second) for item in cluster.daemons]
            return all(item.status == 200 for item in answers) and answers

        answers = wait_for(submitted, "the resent bundle to be taken")
        assert len({item.json()["digest"] for item in answers}) == 1
        listed = alone.operate("GET", "/bundles").json()["bundles"]
        assert [item["version"] for item in listed].count(2) == 1, listed

        def order_runs():
            answer = alone.call("/services/orders/reserve", '{"lot":7}', key="cut-off")
            return answer.outcome == "ran" and answer

        ran = wait_for(order_runs, "the order to run after the partition")
        assert ran.json()["runs"] == 1, ran.body


if __name__ == "__main__":
    main()
