"""Runs a scenario against a deployment with a catalog and organisations.

Three control daemons, the scenario's edges, and one target. API keys are made for the
run and handed to the load tool in a file.
"""

import json
import pathlib
import secrets
import subprocess
import sys
import time

from cluster import BUILD, ROOT, StepFailed

sys.path.append(str(ROOT / "platform" / "tests"))
from deployment import Deployment, Target, catalog, wait_for  # noqa: E402

# A new leader begins with empty allowances and waits for two leases.
START_SECONDS = 2
# The users' tolerances beyond rate x window + burst.
WINDOW_SECONDS = 8
TOLERANCE = 1.1
TOLERATED_TOKENS = 7500
LEGEND = """\
asked: requests of the measured phases; in_time and late: answered 200. 401, 429, 503:
refused at the last try; refused_twice: of which two or more tries were refused.
used: most tokens that ran in any 8 s of the whole run, and what the allowance permits."""


class MeteredTarget(Target):
    """A target that records the tokens of each request by organisation."""

    def __init__(self, controls, slots, work_seconds):
        self.used = {}
        super().__init__(controls, slots=slots)
        self.work_seconds = {"/look/x": work_seconds}
        self.write_answer = self.record

    def record(self, handler):
        tokens = sum(int(part) for part in
                     handler.headers["X-Carobtide-Token-Counts"].split(","))
        # Appending to a list is atomic; the key is made by one thread at most twice.
        self.used.setdefault(handler.headers["X-Carobtide-Tenant"], []).append(
            (time.monotonic(), tokens))
        return False

    def most_in_window(self, organisation):
        used = sorted(self.used.get(organisation, []))
        most = total = first = 0
        for at, tokens in used:
            total += tokens
            while at - used[first][0] >= WINDOW_SECONDS:
                total -= used[first][1]
                first += 1
            most = max(most, total)
        return most


def allowed(rate):
    return (rate * WINDOW_SECONDS + rate) * TOLERANCE + TOLERATED_TOKENS


def tenants(plan, keys):
    return [{"name": name, "apiKeys": [keys[name]], "unit": "tokens", "plainTokens": 1,
             "ratePerS": plan["limits"].get(name, 0),
             "burst": plan["limits"].get(name, 0)}
            for name in plan["organisations"]]


def run_load(path, plan, deployment, arguments, keys):
    keys_file = deployment.folder / "keys"
    keys_file.touch(mode=0o600)
    keys_file.write_text("".join(f"{name} {key}\n" for name, key in keys.items()))
    result = arguments.output / f"{plan['name']}.json"
    command = [BUILD / "packages/cli/carobtide", "load", str(path), "--daemon",
               ",".join(f"{ip}:{deployment.front}" for ip in deployment.edges),
               "--seed", str(plan["seed"]), "--keys", str(keys_file),
               "--result", str(result)]
    if not arguments.progress:
        command.append("--quiet")
    done = subprocess.run(command, stdout=subprocess.PIPE, text=True, check=False)
    if done.returncode not in (0, 1):
        raise StepFailed(f"the load tool ended with {done.returncode}")
    if any(key in done.stdout or key in result.read_text() for key in keys.values()):
        raise StepFailed("the load tool's output contains a key")
    return json.loads(pathlib.Path(result).read_text())


def run_catalog_bench(path, plan, arguments):
    """Returns one row for each organisation, with what it used at most."""
    keys = {name: secrets.token_hex(16) for name in plan["organisations"]}
    deployment = Deployment(plan["edges"])
    target = None
    try:
        for ip in deployment.controls + deployment.edges:
            deployment.start(ip, True)
        target = MeteredTarget(deployment.control_addresses(), plan["slots"],
                               plan["work_us"] / 1e6)
        body = {**catalog(3), "tenants": tenants(plan, keys)}
        if deployment.put(body) != 200:
            raise StepFailed("the catalog was refused")
        wait_for(lambda: all(deployment.is_ready(edge) for edge in deployment.edges),
                 "the edges")
        first = {"X-Api-Key": next(iter(keys.values())),
                 "X-Carobtide-Token-Counts": "1,0"}
        for edge in deployment.edges:
            wait_for(lambda edge=edge: deployment.ask(
                edge, "/look/x", "-first", headers=first).status == 200,
                "the target in use")
        time.sleep(START_SECONDS)
        result = run_load(path, plan, deployment, arguments, keys)
    finally:
        if target is not None:
            target.close()
        deployment.close()
    for row in result["organisations"]:
        rate = plan["limits"].get(row["organisation"], 0)
        row["used"] = target.most_in_window(row["organisation"])
        row["allowed"] = round(allowed(rate)) if rate else 0
    return result["organisations"]


def is_faulty(rows):
    """True if an allowance was exceeded."""
    return any(0 < row["allowed"] < row["used"] for row in rows)
