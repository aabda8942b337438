"""A small deployment of the real programs on loopback, for the cases of the second review.

Every machine has a loopback address of its own. Settings come from the templates of the
deploy file, rendered as the platform does; programs are started with the deploy file's
command. Replicas, requesters and the operator are small stand-ins of this file: they do
what the users' pages allow and, where a page is silent, what a sound one does.
"""

import http.client
import json
import os
import pathlib
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the users' sheet for the small deployments.
CONTACT_S = 3.0
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f}  {text}\n")
            self.file.flush()

    def say(self, text):
        """Also to the terminal."""
        self.write(text)
        print(f"{self.now():9.3f}  {text}", flush=True)


def role(name):
    """Program, arguments and template of a role of the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    part = text.split(f"[roles.{name}]")[1].split("[roles.")[0]
    value = lambda key: re.search(rf'^{key} = "(.*)"$', part, re.M).group(1)
    return value("run").split(), (ROOT / value("template")).read_text()


def render(template, fields):
    """The few forms of placeholder that the templates use."""
    def section(match):
        return "".join(match.group(2).replace("{{.}}", str(item))
                       for item in fields[match.group(1)])
    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def placeholder(match):
        value = fields
        for key in match.group(1).split("."):
            value = value[int(key)] if isinstance(value, list) else value[key]
        return {True: "true", False: "false"}.get(value, str(value)) \
            if isinstance(value, bool) else str(value)
    return re.sub(r"\{\{([\w.]+)\}\}", placeholder, text)


class Deployment:
    """Machines with one daemon each."""

    def __init__(self, record, controls=3, edges=2, max_fds=4100):
        self.record = record
        self.max_fds = max_fds
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="carobtide-review-"))
        self.net = f"127.{random.randint(40, 220)}.{random.randint(0, 255)}"
        self.controls = [f"{self.net}.{11 + n}" for n in range(controls)]
        self.edges = [f"{self.net}.{41 + n}" for n in range(edges)]
        self.spare = f"{self.net}.31"
        self.ports = self.free_ports(5)
        self.front, self.ready, self.control, self.peer, self.relay = self.ports
        self.seeds = [f"{ip}:{self.control}" for ip in self.controls[:3]]
        self.processes = {}

    def free_ports(self, count):
        ports = []
        while len(ports) < count:
            port = random.randint(20000, 31000)
            try:
                for ip in self.controls + self.edges + [self.spare]:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((ip, port))
            except OSError:
                continue
            if port not in ports:
                ports.append(port)
        return ports

    def fields(self, ip, bootstrap, seeds):
        name = "control" if ip not in self.edges else "edge"
        return {
            "node": f"{name}-{ip}", "ip": ip, "zone": f"zone-{ip.split('.')[-1][-1]}",
            "listen": {"front": f"{ip}:{self.front}", "ready": f"{ip}:{self.ready}",
                       "control": f"{ip}:{self.control}"},
            "portRange": [self.peer, self.relay], "seeds": seeds,
            "bootstrap": bootstrap, "dataDir": str(self.folder / f"data-{ip}"),
            "heartbeatMs": int(HEARTBEAT_S * 1000), "tolerate": {"machines": 1},
            "bounds": {"graceS": 8, "retryBudget": 0.2, "budgetSlack": 52,
                       "budgetWindowS": 10, "leaseMs": 3000}}

    def start(self, ip, bootstrap=True, seeds=None):
        run, template = role("edge" if ip in self.edges else "control")
        path = self.folder / f"{ip}.conf"
        path.write_text(render(template, self.fields(ip, bootstrap, seeds or self.seeds)))
        command = [str(ROOT / run[0])] + run[1:-1] + [str(path)]
        if not os.access(command[0], os.X_OK):
            raise CannotRun(f"{command[0]} is missing: build the deploy file first")

        if resource.getrlimit(resource.RLIMIT_NOFILE)[1] < self.max_fds:
            raise CannotRun("too few descriptors are allowed here")

        def limit():
            # The descriptors that the users' sheet gives a machine.
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))
        with open(self.folder / f"{ip}.log", "ab") as log:
            self.processes[ip] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, preexec_fn=limit,
                env={"PATH": os.environ.get("PATH", ""), "LANG": "C"})

    def kill(self, ip, how=signal.SIGKILL):
        process = self.processes.pop(ip)
        process.send_signal(how)
        process.wait()

    def log(self, ip):
        return (self.folder / f"{ip}.log").read_text(errors="replace")

    def put(self, config):
        """The operator: sends a config until it is acknowledged."""
        end = time.monotonic() + 20
        while time.monotonic() < end:
            for ip in self.controls:
                try:
                    answer = call((ip, self.control), "POST", "/-/Config.Put",
                                  json.dumps(config), timeout=1)
                except OSError:
                    continue
                if answer.status == 200:
                    self.record.write(f"config {config['version']} acknowledged by {ip}")
                    return
                if answer.status in (400, 409, 412, 413, 422):
                    raise CannotRun(f"config refused: {answer.status} {answer.body[:200]}")
            time.sleep(0.2)
        raise CannotRun("no acknowledgement of the config")

    def is_ready(self, ip):
        try:
            return call((ip, self.ready), "GET", "/-/readiness", timeout=1).status == 200
        except OSError:
            return False

    def wait_ready(self):
        for ip in self.edges:
            wait_for(lambda: self.is_ready(ip), 15, f"{ip} ready")

    def close(self):
        for ip in list(self.processes):
            self.kill(ip)
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


def call(address, method, path, body=None, headers=None, timeout=5.0):
    """One request on a channel of its own; OSError if no whole answer came."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return Answer(response.status, dict(response.getheaders()),
                      response.read().decode(errors="replace"))
    except http.client.HTTPException as error:
        raise OSError(f"{type(error).__name__}: {error}") from error
    finally:
        connection.close()


def wait_for(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise CannotRun(f"waited in vain for {what}")


class Channel:
    """One channel of a requester, with one request on it at a time."""

    def __init__(self, address, timeout=5.0):
        self.socket = socket.create_connection(address, timeout=timeout)
        self.buffer = b""

    def send(self, method, path, headers, body=b""):
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.socket.sendall("\r\n".join(lines).encode() + body)

    def more(self):
        data = self.socket.recv(65536)
        if not data:
            raise OSError("the channel ended")
        self.buffer += data

    def line(self):
        while b"\n" not in self.buffer:
            self.more()
        line, self.buffer = self.buffer.split(b"\n", 1)
        return line.rstrip(b"\r").decode()

    def exactly(self, count):
        while len(self.buffer) < count:
            self.more()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        status = int(self.line().split()[1])
        headers = {}
        while line := self.line():
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        return status, headers

    def chunks(self):
        """The chunks of a body; ends with the last one."""
        while size := int(self.line(), 16):
            data = self.exactly(size)
            self.line()
            yield data
        self.line()

    def body(self, headers):
        if "content-length" in headers:
            return self.exactly(int(headers["content-length"]))
        return b"".join(self.chunks())

    def close(self):
        self.socket.close()


class Replica:
    """A stand-in replica in threads of this process: heartbeats and requests.

    Subclasses answer requests in `serve`. It takes an address of its own.
    """

    def __init__(self, deployment, record, service, name, ip, port=0, version="v1",
                 slots=64, models=None, first_beat_after=0.0, listen_backlog=512):
        self.deployment, self.record = deployment, record
        self.service, self.name, self.ip = service, name, ip
        self.version, self.slots, self.models = version, slots, models
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_over = threading.Event()
        self.channels = set()
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(listen_backlog)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, args=(first_beat_after,), daemon=True).start()

    def description(self):
        self.sequence += 1
        said = {"service": self.service, "address": f"{self.ip}:{self.port}",
                "zone": "zone-1", "version": self.version, "slots": self.slots,
                "state": self.state, "coldLeftMs": 0, "seq": self.sequence,
                "born": self.born}
        if self.models is not None:
            said["stage"] = "both"
            said["models"] = [{"name": model, "version": 1, "adapters": []}
                              for model in self.models]
        return said

    def tell(self, call_name, body):
        """Calls daemons in turn until one confirms."""
        for ip in random.sample(self.deployment.controls, len(self.deployment.controls)):
            try:
                answer = call((ip, self.deployment.control), "POST",
                              f"/-/Instances.{call_name}/{self.name}", json.dumps(body),
                              timeout=1)
            except OSError:
                continue
            if answer.status // 100 == 2:
                return True
        return False

    def beat(self, after):
        if self.is_over.wait(after):
            return
        while not self.is_over.is_set():
            self.tell("Heartbeat", self.description())
            if self.is_over.wait(HEARTBEAT_S):
                return

    def drain(self):
        self.state = "draining"
        return self.tell("Heartbeat", self.description())

    def deregister(self):
        self.is_over.set()
        return self.tell("Deregister", {"born": self.born})

    def accept(self):
        while True:
            try:
                channel, _ = self.listener.accept()
            except OSError:
                return
            with self.lock:
                self.channels.add(channel)
            threading.Thread(target=self.converse, args=(channel,), daemon=True).start()

    def converse(self, channel):
        channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = channel.makefile("rb")
        try:
            while True:
                first = reader.readline()
                if not first:
                    return
                method, path, _ = first.decode().split()
                headers = {}
                while (line := reader.readline().decode().strip()):
                    name, value = line.split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                body = reader.read(int(headers.get("content-length", 0)))
                if not self.answer(channel, method, path, headers, body):
                    return
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.channels.discard(channel)
            try:
                reader.close()
                channel.close()
            except OSError:
                pass

    def answer(self, channel, method, path, headers, body):
        expected = headers.get("x-carobtide-expect-instance")
        if expected and expected != self.name:
            return self.respond(channel, 421, headers, b"", {"X-Carobtide-Not-Run": "1"})
        if path == "/-/report":
            report = {"busy": False, "seq": 0, "queued": 0, "active": 0, "handles": 0,
                      "born": self.born}
            if self.models is not None:
                report |= {"stage": "both", "models": self.description()["models"],
                           "kvUsed": 0, "kvTotal": 131875}
            return self.respond(channel, 200, headers, json.dumps(report).encode())
        if path == "/-/order":
            return self.respond(channel, 409, headers, b"")
        if path == "/healthz":
            status = 200 if self.state == "ready" else 503
            return self.respond(channel, status, headers, b"",
                                {"X-Carobtide-Instance-Id": self.name})
        return self.serve(channel, method, path, headers, body)

    @staticmethod
    def respond(channel, status, asked, body, headers=None):
        """Sends a whole answer; true: the channel stays open."""
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        if "x-carobtide-request-id" in asked:
            lines.append(f"X-Carobtide-Request-Id: {asked['x-carobtide-request-id']}")
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        channel.sendall("\r\n".join(lines + ["", ""]).encode() + body)
        return True

    def serve(self, channel, method, path, headers, body):
        raise NotImplementedError

    def end(self):
        """The process ends: no listener, no channel."""
        self.is_over.set()
        # A close alone takes effect only once the accepting thread returns.
        for item in [self.listener, *list(self.channels)]:
            try:
                item.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.listener.close()


class StreamReplica(Replica):
    """Answers each request with events that name its process and version."""

    EVENTS = 40
    PAUSE_S = 0.1

    def serve(self, channel, method, path, headers, body):
        request = headers.get("x-carobtide-request-id", "")
        after = headers.get("last-event-id")
        first = 0 if after is None else int(after) + 1
        self.record.write(f"replica {self.name} {self.version} begins {request} "
                          f"at event {first}")
        lines = ["HTTP/1.1 200 OK", f"X-Carobtide-Request-Id: {request}",
                 f"X-Carobtide-Response-Stamp: {self.name}.{request}",
                 "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        channel.sendall("\r\n".join(lines).encode())
        for number in range(first, self.EVENTS):
            event = f"id: {number}\ndata: {self.name} {self.version}\n\n".encode()
            channel.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(self.PAUSE_S)
        channel.sendall(b"0\r\n\r\n")
        return True


def play(record_path, run):
    """Runs a case and writes its record: exit 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    # Replicas and requesters are in this process: hundreds of channels.
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = 16384 if hard == resource.RLIM_INFINITY else min(hard, 16384)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, most), hard))
    record = Record(record_path)
    record.say(f"trouble: {'yes' if TROUBLE else 'no'}")
    deployments = []
    status = 2

    def stop(*_):
        raise CannotRun("it was told to stop")
    signal.signal(signal.SIGTERM, stop)
    try:
        status = run(record, deployments)
    except CannotRun as error:
        record.say(f"could not run: {error}")
    except Exception as error:  # pylint: disable=broad-except
        record.say(f"could not run: {type(error).__name__}: {error}")
        raise
    finally:
        for item in deployments:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(item.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            item.close()
        record.say({0: "the rule held", 1: "the rule is broken"}.get(status, "no verdict"))
        sys.stdout.flush()
        os._exit(status)
