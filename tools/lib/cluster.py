"""Starts daemons and stand-ins on free loopback ports and ends them by pid.

Used by tools/demo and tools/bench. The two binaries start no process; these
scripts do. Every process started here is ended by stop_all, also on errors.
"""

import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build")).resolve()
OPERATOR_TOKEN = "operator-token-on-loopback"
HOST = "127.0.0.1"
STOP_TIMEOUT_S = 40


class StepFailed(Exception):
    """A step that did not do what it must; its text says which."""


def free_ports(count):
    """Returns ports that are free for TCP and UDP now."""
    held, ports = [], []
    while len(ports) < count:
        tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        tcp.bind((HOST, 0))
        port = tcp.getsockname()[1]
        try:
            udp.bind((HOST, port))
        except OSError:
            continue
        ports.append(port)
    for one in held:
        one.close()
    return ports


def http_call(address, method, path, body=None, headers=None, timeout=30):
    """Sends one request; returns (status, headers, body)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read().decode()
    finally:
        connection.close()


def wait_until(what, condition, timeout=30.0, interval=0.1):
    """Polls until condition() is true; its exceptions count as false."""
    deadline = time.monotonic() + timeout
    last = None
    while time.monotonic() < deadline:
        try:
            last = condition()
            if last:
                return last
        except (OSError, ValueError, http.client.HTTPException) as error:
            last = error
        time.sleep(interval)
    raise StepFailed(f"timed out after {timeout:.0f} s: {what} (last: {last})")


class Process:
    """A child with its output in files."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.out_path = folder / f"{name}.out"
        self.err_path = folder / f"{name}.err"
        with open(self.out_path, "wb") as out, open(self.err_path, "wb") as err:
            self.child = subprocess.Popen(
                [str(one) for one in arguments], stdout=out, stderr=err
            )

    def is_running(self):
        return self.child.poll() is None

    def send(self, number):
        if self.is_running():
            self.child.send_signal(number)

    def begin_stop(self):
        """Asks for a graceful stop. A second SIGTERM would cut it short."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)

    def wait_stopped(self):
        """Returns the exit code; None if it had to be killed."""
        try:
            return self.child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            return None

    def error_tail(self, lines=5):
        text = self.err_path.read_text(errors="replace").splitlines()
        return "\n".join(text[-lines:])


class Daemon(Process):
    """A carobtided with its addresses."""

    def __init__(self, name, settings, folder, callers, operators):
        super().__init__(
            name, [BUILD / "packages/daemon/carobtided", settings], folder
        )
        self.callers = f"{HOST}:{callers}"
        self.operators = f"{HOST}:{operators}"

    def is_ready(self):
        if not self.is_running():
            raise StepFailed(f"{self.name} ended: {self.error_tail()}")
        return http_call(self.operators, "GET", "/readyz", timeout=2)[0] == 200


class Standin(Process):
    """A `carobtide standin` process with the targets that it hosts."""

    def targets(self):
        lines = self.out_path.read_text().splitlines()
        return [json.loads(line) for line in lines]


class Cluster:
    """Daemons and stand-ins of one run; a context manager."""

    def __init__(self, keep=False):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="carobtide-"))
        self.keep = keep
        self.daemons = []
        self.standins = []

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        self.stop_all()
        if self.keep or kind is not None:
            print(f"logs are kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def start_daemons(self, count, domains, policy=None, disks=3, threads=2):
        """Starts daemons; the first `disks` of them keep the control log."""
        ports = free_ports(3 * count)
        rows = []
        for i in range(count):
            callers, operators, peers = ports[3 * i : 3 * i + 3]
            rows.append(
                {
                    "name": f"daemon-{i}",
                    "domain": domains[i % len(domains)],
                    "callers": callers,
                    "operators": operators,
                    "peers": peers,
                    "disk": i < disks,
                }
            )
        for row in rows:
            settings = self._write_settings(row, rows, policy, threads)
            self.daemons.append(
                Daemon(
                    row["name"],
                    settings,
                    self.folder,
                    row["callers"],
                    row["operators"],
                )
            )

    def wait_ready(self, timeout=30):
        for daemon in self.daemons:
            wait_until(f"{daemon.name} is ready", daemon.is_ready, timeout)

    def _write_settings(self, row, rows, policy, threads):
        lines = [
            f"name: {row['name']}",
            f"failure_domain: {row['domain']}",
            "listen:",
            f"  callers: {HOST}:{row['callers']}",
            f"  operators: {HOST}:{row['operators']}",
            f"  peers: {HOST}:{row['peers']}",
            f"operators: [{{name: bench, token: {OPERATOR_TOKEN}}}]",
            f"threads: {threads}",
            "log_level: warning",
        ]
        if policy:
            lines.append(f"routing_policy: {policy}")
        if row["disk"]:
            data = self.folder / f"{row['name']}.data"
            data.mkdir()
            lines.append(f"data_dir: {data}")
        others = [other for other in rows if other is not row]
        if others:
            lines.append("peers:")
        for other in others:
            lines += [
                f"  - name: {other['name']}",
                f"    failure_domain: {other['domain']}",
                f"    address: {HOST}:{other['peers']}",
                f"    disk: {str(other['disk']).lower()}",
            ]
        path = self.folder / f"{row['name']}.yaml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start_standin(self, arguments):
        """Starts one stand-in process and waits for its targets."""
        name = f"standin-{len(self.standins)}"
        addresses = ",".join(daemon.callers for daemon in self.daemons)
        standin = Standin(
            name,
            [
                BUILD / "packages/cli/carobtide",
                "standin",
                *arguments,
                "--daemons",
                addresses,
            ],
            self.folder,
        )
        self.standins.append(standin)
        count = 1
        if "--count" in arguments:
            count = int(arguments[arguments.index("--count") + 1])
        wait_until(
            f"{name} serves {count} targets",
            lambda: standin.is_running()
            and len(standin.targets()) == count,
        )
        return standin

    def cli(self, *arguments, check=True):
        """Runs an operators' command against all daemons."""
        command = [str(BUILD / "packages/cli/carobtide"), *arguments]
        command += [
            "--daemon",
            ",".join(daemon.operators for daemon in self.daemons),
        ]
        environment = dict(os.environ, CAROBTIDE_TOKEN=OPERATOR_TOKEN)
        done = subprocess.run(
            command, env=environment, capture_output=True, text=True, check=False
        )
        if check and done.returncode != 0:
            raise StepFailed(
                f"carobtide {' '.join(arguments)}: exit {done.returncode}: "
                f"{done.stderr.strip()}"
            )
        return done

    def roll(self, bundle):
        """Submits, signs off and rolls a bundle file; waits for its loads."""
        shown = json.loads(self.cli("bundle", "submit", bundle, "--json").stdout)
        name, version = shown["name"], str(shown["version"])
        for verb in ("sign-off", "roll"):
            self.cli("bundle", verb, name, version, "--file", bundle)
        wait_until("the bundle is in force", self._is_in_force, 120)

    def _is_in_force(self):
        for daemon in self.daemons:
            headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
            for path in ("/bundles/in-force", "/placement"):
                status, _, body = http_call(
                    daemon.operators, "GET", path, headers=headers, timeout=5
                )
                fields = json.loads(body)
                if status != 200:
                    return False
                if fields.get("unreachable_models"):
                    return False
                if path == "/bundles/in-force" and "name" not in fields:
                    return False
        return True

    def stop_all(self):
        """Ends every process; returns the names that did not exit with 0."""
        wrong = []
        for group in (self.daemons, self.standins):
            for process in group:
                process.begin_stop()
            for process in group:
                code = process.wait_stopped()
                if code != 0:
                    wrong.append(f"{process.name} (exit {code})")
        self.daemons, self.standins = [], []
        return wrong
