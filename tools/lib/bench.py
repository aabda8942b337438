"""Runs one scenario under several routing policies and prints one table.

Each policy gets fresh daemons and stand-ins, the same scenario and the same
seed. The table holds the four measures; how each is taken stands below it.
"""

import argparse
import json
import pathlib
import shlex
import signal
import subprocess
import sys
import threading

from cluster import BUILD, ROOT, Cluster, StepFailed, http_call, wait_until

POLICIES = "two-choices,round-robin,least-reported"
SIGNALS = {
    "stop": signal.SIGSTOP,
    "continue": signal.SIGCONT,
    "kill": signal.SIGKILL,
    "terminate": signal.SIGTERM,
}
LEGEND = """\
per_accel: requests answered whole and in time, per second and accelerator.
moves: model loads during the run. crest_*: short work in the crest phases.
short_*: first byte of short work, from the intended start; its wait behind
long work is in it. slowest: 99th percentile of whole answers of all classes.
lost: cut, failed, timed out or unreachable. key_runs: most runs of one key."""


def scenario_plan(path):
    done = subprocess.run(
        [BUILD / "packages/cli/carobtide", "load", str(path), "--show-bench"],
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode != 0:
        raise StepFailed(done.stderr.strip())
    return json.loads(done.stdout)


def target_stats(cluster):
    """Sums of loads, and the highest count of one key."""
    loads, key_runs = 0, 0
    by_key = {}
    for standin in cluster.standins:
        if not standin.is_running():
            raise StepFailed(f"{standin.name} ended: {standin.error_tail()}")
        for target in standin.targets():
            is_service = "service" in standin.child.args
            path = "/counts" if is_service else "/stats"
            try:
                _, _, body = http_call(target["address"], "GET", path, timeout=5)
            except OSError:
                continue
            fields = json.loads(body)
            loads += fields.get("loads", 0)
            for key, count in fields.get("by_key", {}).items():
                by_key[key] = by_key.get(key, 0) + count
    if by_key:
        key_runs = max(by_key.values())
    return loads, key_runs


def count_accelerators(cluster):
    return sum(
        len(standin.targets())
        for standin in cluster.standins
        if "target" in standin.child.args
    )


def schedule_faults(plan, cluster):
    processes = {one.name: one for one in cluster.daemons + cluster.standins}
    timers = []
    for fault in plan["faults"]:
        if fault["process"] not in processes:
            raise StepFailed(f"fault names no process: {fault['process']}")
        process = processes[fault["process"]]
        timer = threading.Timer(
            fault["at_us"] / 1e6, process.send, [SIGNALS[fault["action"]]]
        )
        timer.daemon = True
        timers.append(timer)
    return timers


def run_policy(path, plan, policy, arguments):
    with Cluster(arguments.keep) as cluster:
        cluster.start_daemons(plan["daemons"], plan["failure_domains"], policy)
        cluster.wait_ready()
        for standin in plan["standins"]:
            cluster.start_standin(
                shlex.split(standin)
                + ["--leave-grace", "1s", "--seed", str(plan["seed"])]
            )
        # A bundle may only roll once the targets that must hold it are known.
        count = sum(len(one.targets()) for one in cluster.standins)
        wait_until(
            "the daemons list the targets",
            lambda: cluster.cli("targets").stdout.count(" live ") >= count,
        )
        cluster.roll(str((path.parent / plan["bundle"]).resolve()))
        result = run_load(path, plan, policy, cluster, arguments)
        wrong = cluster.stop_all()
        killed = {f["process"] for f in plan["faults"] if f["action"] == "kill"}
        for name in wrong:
            if name.split()[0] not in killed:
                print(f"{policy}: did not exit with 0: {name}", file=sys.stderr)
        return result


def run_load(path, plan, policy, cluster, arguments):
    loads_before, _ = target_stats(cluster)
    timers = schedule_faults(plan, cluster)
    output = arguments.output / f"{plan['name']}-{policy}"
    command = [
        BUILD / "packages/cli/carobtide",
        "load",
        str(path),
        "--daemon",
        ",".join(daemon.callers for daemon in cluster.daemons),
        "--threads",
        "2",
        "--result",
        f"{output}.json",
        "--plot",
        f"{output}.svg",
    ]
    if not arguments.progress:
        command.append("--quiet")
    if arguments.seed is not None:
        command += ["--seed", str(arguments.seed)]
    for timer in timers:
        timer.start()
    done = subprocess.run(command, stdout=subprocess.PIPE, text=True, check=False)
    for timer in timers:
        timer.cancel()
    for process in cluster.daemons + cluster.standins:
        process.send(signal.SIGCONT)
    save_timeline(cluster, output)
    if arguments.progress:
        print(done.stdout)
    if done.returncode not in (0, 1):
        raise StepFailed(f"the load tool ended with {done.returncode}")
    result = json.loads(pathlib.Path(f"{output}.json").read_text())
    loads, key_runs = target_stats(cluster)
    result["moves"] = loads - loads_before
    result["key_runs"] = key_runs
    result["accelerators"] = count_accelerators(cluster)
    return result


def save_timeline(cluster, output):
    """Writes the merged time line of the daemons that still answer."""
    for form, suffix in (("json", "jsonl"), ("html", "html")):
        cluster.cli(
            "timeline",
            "--format",
            form,
            "--output",
            f"{output}-timeline.{suffix}",
            check=False,
        )


def share(cell):
    return cell["attained"] / cell["offered"] if cell["offered"] else 0.0


def measure(policy, result):
    total, short = result["total"], result["short"]
    crest = result["short_at_crest"]
    lost = sum(
        total[name]
        for name in ("cut", "failed", "timed_out", "unreachable", "unknown")
    )
    per_accel = total["attained"] / result["seconds"] / result["accelerators"]
    return {
        "policy": policy,
        "per_accel": f"{per_accel:.3f}",
        "in_time": f"{share(total):.1%}",
        "moves": str(result["moves"]),
        "crest_in_time": f"{share(crest):.1%}",
        "crest_p99_ms": f"{crest['first_byte_ms']['p99']:.0f}",
        "short_p50_ms": f"{short['first_byte_ms']['p50']:.0f}",
        "short_p99_ms": f"{short['first_byte_ms']['p99']:.0f}",
        "slowest_p99_ms": f"{total['total_ms']['p99']:.0f}",
        "not_run": str(total["not_run"]),
        "lost": str(lost),
        "wrong": str(total["wrong"]),
        "key_runs": str(result["key_runs"]),
    }


def print_table(rows):
    names = list(rows[0])
    widths = {
        name: max(len(name), *(len(row[name]) for row in rows)) for name in names
    }
    for row in [{name: name for name in names}] + rows:
        print("  ".join(row[name].rjust(widths[name]) for name in names))


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", help="a file, or a name under bench/")
    parser.add_argument("--policies", default=POLICIES)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--keep", action="store_true", help="keep all logs")
    parser.add_argument("--progress", action="store_true")
    parser.add_argument(
        "--output", type=pathlib.Path, default=BUILD / "bench-results"
    )
    return parser.parse_args()


def run_organisations(path, plan, arguments):
    """One run on a deployment with a catalog, which has one routing policy."""
    # Only these scenarios need the users' dialect and its stand-ins.
    import catalog_bench

    print(f"{plan['name']}, seed {plan['seed']}", flush=True)
    rows = catalog_bench.run_catalog_bench(path, plan, arguments)
    print_table([{name: str(value) for name, value in row.items()} for row in rows])
    print(catalog_bench.LEGEND)
    return 1 if catalog_bench.is_faulty(rows) else 0


def main():
    arguments = parse_arguments()
    path = pathlib.Path(arguments.scenario)
    if not path.exists():
        path = ROOT / "bench" / f"{arguments.scenario}.yaml"
    arguments.output.mkdir(parents=True, exist_ok=True)
    try:
        plan = scenario_plan(path)
        if arguments.seed is not None:
            plan["seed"] = arguments.seed
        if plan["edges"]:
            return run_organisations(path, plan, arguments)
        rows = []
        for policy in arguments.policies.split(","):
            print(f"{plan['name']}, seed {plan['seed']}: {policy}", flush=True)
            rows.append(measure(policy, run_policy(path, plan, policy, arguments)))
    except StepFailed as failure:
        print(f"bench FAILED: {failure}", file=sys.stderr)
        return 1
    print_table(rows)
    print(LEGEND)
    faulty = [row for row in rows if row["wrong"] != "0" or int(row["key_runs"]) > 1]
    return 1 if faulty else 0


if __name__ == "__main__":
    sys.exit(main())
