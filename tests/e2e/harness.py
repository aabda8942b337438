"""Starts daemons and stand-ins on loopback for the end-to-end tests.

Every process is ended by its process id when the cluster is closed. Ports are
taken as free ones at the start. Waits are generous limits on how long a
condition may take to come about; no test asserts a duration.
"""

import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("CAROBTIDE_BUILD", ROOT / "build"))
DAEMON = BUILD / "packages/daemon/carobtided"
TOOL = BUILD / "packages/cli/carobtide"
OPERATOR_TOKEN = "operator-token-0123456789"
CALLER_TOKEN = "caller-token-0123456789"
PATIENCE_S = 60


def wait_for(condition, what, patience=PATIENCE_S):
    """Polls until the condition is truthy; returns its value."""
    deadline = time.monotonic() + patience
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"gave up waiting for {what}")


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Answer:
    """A whole HTTP answer."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def outcome(self):
        return self.headers.get("carobtide-outcome", "")

    def json(self):
        return json.loads(self.body)


def request(port, method, path, body=None, headers=None, timeout=60):
    """Sends one request; ConnectionError or http.client errors on failure."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        text = response.read().decode()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, fields, text)
    finally:
        connection.close()


class Daemon:
    def __init__(self, cluster, name, domain, has_disk, ports):
        self.cluster = cluster
        self.name = name
        self.domain = domain
        self.has_disk = has_disk
        self.callers, self.operators, self.peers = ports
        self.data_dir = cluster.folder / f"{name}.data"
        self.process = None

    def settings(self):
        peers = [
            {
                "name": peer.name,
                "failure_domain": peer.domain,
                "address": f"127.0.0.1:{peer.peers}",
                "disk": peer.has_disk,
            }
            for peer in self.cluster.daemons
            if peer is not self
        ]
        settings = {
            "name": self.name,
            "failure_domain": self.domain,
            "listen": {
                "callers": f"127.0.0.1:{self.callers}",
                "operators": f"127.0.0.1:{self.operators}",
                "peers": f"127.0.0.1:{self.peers}",
            },
            "peers": peers,
            "operators": [{"name": "anna", "token": OPERATOR_TOKEN}],
            "threads": 2,
            "seed": 7,
        }
        settings.update(self.cluster.extra_settings)
        if self.has_disk:
            settings["data_dir"] = str(self.data_dir)
        return settings

    def start(self):
        path = self.cluster.folder / f"{self.name}.yaml"
        # JSON is YAML.
        path.write_text(json.dumps(self.settings(), indent=1))
        log = open(self.cluster.folder / f"{self.name}.log", "a")
        self.process = subprocess.Popen(
            [DAEMON, path], stderr=log, stdout=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def kill(self):
        self.process.kill()
        self.process.wait()

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    def pause(self):
        """Freezes the process; returns once none of its threads runs any more.

        On a busy machine threads go on for some 20 ms after the signal.
        """
        self.process.send_signal(signal.SIGSTOP)
        wait_for(self.is_frozen, "a frozen process")

    def is_frozen(self):
        for task in pathlib.Path(f"/proc/{self.process.pid}/task").iterdir():
            try:
                state = (task / "stat").read_text().rsplit(")", 1)[1].split()[0]
            except OSError:
                continue  # the thread has ended
            if state not in "Tt":
                return False
        return True

    def resume(self):
        self.process.send_signal(signal.SIGCONT)

    def operate(self, method, path, body=None, timeout=20):
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        return request(self.operators, method, path, body, headers, timeout)

    def status(self):
        try:
            return self.operate("GET", "/status", timeout=5).json()
        except (OSError, http.client.HTTPException, ValueError):
            return {}

    def is_ready(self):
        try:
            return request(self.operators, "GET", "/readyz", timeout=5).status == 200
        except (OSError, http.client.HTTPException):
            return False

    def call(self, path, body, key=None, headers=None, timeout=60):
        fields = {"Authorization": f"Bearer {CALLER_TOKEN}"}
        if key:
            fields["Idempotency-Key"] = key
        fields.update(headers or {})
        return request(self.callers, "POST", path, body, fields, timeout)

    def complete(self, model, text, max_tokens=5, stream=False, timeout=60):
        body = {
            "model": model,
            "max_tokens": max_tokens,
            "stream": stream,
            "messages": [{"role": "user", "content": text}],
        }
        return self.call("/v1/chat/completions", json.dumps(body), timeout=timeout)


class Cluster:
    """Daemons and stand-ins; use as a context manager."""

    def __init__(self, domains=("a",), daemons=1, disks=1, extra_settings=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="carobtide-e2e-"))
        self.extra_settings = extra_settings or {}
        self.daemons = []
        self.standins = []
        ports = free_ports(3 * daemons)
        for index in range(daemons):
            self.daemons.append(
                Daemon(
                    self,
                    f"entry-{index + 1}",
                    domains[index % len(domains)],
                    index < disks,
                    ports[3 * index : 3 * index + 3],
                )
            )

    def __enter__(self):
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            wait_for(daemon.is_ready, f"{daemon.name} to be ready")
        return self

    def __exit__(self, kind, error, trace):
        processes = [item.process for item in self.daemons if item.process]
        for process in processes + self.standins:
            if process.poll() is None:
                process.kill()
                process.wait()
        if kind is None:
            shutil.rmtree(self.folder)
        else:
            print(f"logs kept in {self.folder}", file=sys.stderr)

    def standin(self, kind, *arguments):
        """Starts `carobtide standin KIND` announcing to every daemon."""
        number = len(self.standins)
        log = open(self.folder / f"standin-{number}.log", "a")
        daemons = [f"127.0.0.1:{item.callers}" for item in self.daemons]
        process = subprocess.Popen(
            [TOOL, "standin", kind, "--daemons", *daemons]
            + [str(item) for item in arguments],
            stderr=log,
            stdout=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.standins.append(process)
        return process

    def leader(self):
        """The daemon that leads and has its lease, or None."""
        for daemon in self.daemons:
            if daemon.process.poll() is None and daemon.status().get("has_lease"):
                return daemon
        return None

    def targets(self, daemon=None):
        daemon = daemon or self.daemons[0]
        return daemon.operate("GET", "/targets").json()["targets"]

    def roll(self, bundle, name, version):
        """Submits, signs off and rolls a bundle through the first daemon."""
        daemon = self.daemons[0]
        answer = daemon.operate("POST", "/bundles", bundle)
        assert answer.status == 200, answer.body
        digest = answer.json()["digest"]
        for action in ("sign-off", "roll"):
            path = f"/bundles/{name}/{version}/{action}?digest={digest}"
            answer = daemon.operate("PUT", path)
            assert answer.status == 200, answer.body

    def wait_reachable(self):
        """Waits until every daemon reaches every model in force."""

        def reachable():
            for daemon in self.daemons:
                if daemon.process.poll() is not None:
                    continue
                placement = daemon.operate("GET", "/placement").json()
                if daemon.status().get("epoch", 0) == 0:
                    return False
                if placement["unreachable_models"]:
                    return False
            return True

        wait_for(reachable, "every model to be reachable from every daemon")


def make_bundle(version=1, models=4, services=True, memory="4GiB", pool="engines",
                min_replicas=1):
    """A small bundle whose caller may use everything."""
    bundle = {
        "name": "shop",
        "version": version,
        "models": [
            {"name": f"model-{index}", "version": 1, "pool": pool, "memory": memory,
             "min_replicas": min_replicas}
            for index in range(models)
        ],
        "callers": [
            {
                "name": "counter",
                "tokens": [CALLER_TOKEN],
                "models": ["*"],
                "services": ["*"],
                "priority": "interactive",
            }
        ],
        "classes": [{"class": "interactive", "first_byte": "20s", "whole": "60s"}],
    }
    if services:
        bundle["services"] = [
            {"name": "orders", "pool": "desk", "idempotent": ["GET /stock"], "timeout": "20s"}
        ]
    return json.dumps(bundle)


class Stream(threading.Thread):
    """Reads one streamed completion in the background."""

    def __init__(self, daemon, model, max_tokens):
        super().__init__()
        self.daemon_under_test = daemon
        self.model = model
        self.max_tokens = max_tokens
        self.first = threading.Event()
        self.text = ""
        self.error = None
        # Seconds between two parts of the answer, at most.
        self.longest_pause = 0.0

    def run(self):
        body = json.dumps(
            {
                "model": self.model,
                "max_tokens": self.max_tokens,
                "stream": True,
                "messages": [{"role": "user", "content": f"a long story answer-tokens={self.max_tokens}"}],
            }
        )
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.daemon_under_test.callers, timeout=120
        )
        try:
            connection.request(
                "POST",
                "/v1/chat/completions",
                body,
                {"Authorization": f"Bearer {CALLER_TOKEN}"},
            )
            response = connection.getresponse()
            read_at = None
            while True:
                part = response.read1(4096)
                now = time.monotonic()
                if read_at is not None:
                    self.longest_pause = max(self.longest_pause, now - read_at)
                read_at = now
                if not part:
                    break
                self.text += part.decode()
                self.first.set()
        except (OSError, http.client.HTTPException) as error:
            self.error = error
        finally:
            self.first.set()
            connection.close()

    @property
    def is_whole(self):
        return self.error is None and self.text.rstrip().endswith("data: [DONE]")

    @property
    def content(self):
        """The answer's text, put together from the events."""
        text = ""
        for line in self.text.splitlines():
            if line.startswith("data: {"):
                delta = json.loads(line[len("data: "):])["choices"][0]["delta"]
                text += delta.get("content", "")
        return text

    @property
    def tokens(self):
        return self.text.count('"content"')
