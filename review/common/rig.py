"""What the scripts of the review share: a small deployment on loopback.

The daemons are those of the deploy file, started with its commands and its
templates, each on loopback addresses of its own. The platform, the operator,
the replicas and the requesters are small stand-ins that keep to the users'
pages. Nothing outside the folder of a case and a temporary folder is written.
"""

import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 1, 0, 2
LONGEST_S = 112


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case cannot run here."""


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
            self.file.flush()


def render(template, fields):
    """The part of the platform's templates that this deploy file uses."""
    def lookup(path):
        value = fields
        for step in path.split("."):
            value = value[int(step)] if isinstance(value, list) else value[step]
        return value

    def section(match):
        return "".join(match.group(2).replace("{{.}}", str(item))
                       for item in lookup(match.group(1)))

    def value(match):
        found = lookup(match.group(1))
        return str(found).lower() if isinstance(found, bool) else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Machine:
    def __init__(self, name, role, ip, zone):
        self.name, self.role, self.ip, self.zone = name, role, ip, zone
        self.process = None
        self.ends = 0
        self.peak = 0


class Rig:
    """Platform stand-in: settings, start, restart, memory limit, end."""

    # Bounds as the sheet of the site sangle-hub states them.
    BOUNDS = {"graceS": 8, "leaseMs": 3000, "retryBudget": 0.2, "budgetSlack": 52,
              "budgetWindowS": 10}
    HEARTBEAT_MS = 1200

    def __init__(self, record, controls=3, edges=2, memory_mb=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="carobtide-review-"))
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        chosen = random.SystemRandom()
        self.net = f"127.{chosen.randint(16, 250)}.{chosen.randint(1, 250)}"
        self.ports = self.free_ports(6)
        self.machines = {}
        self.memory_mb = memory_mb
        self.stopping = False
        self.guard = threading.Lock()
        for n in range(controls):
            self.add(f"core-{n + 1}", "control", n)
        for n in range(edges):
            self.add(f"front-{n + 1}", "edge", n)
        threading.Thread(target=self.watch, daemon=True).start()

    def free_ports(self, count):
        sockets = [socket.socket() for _ in range(count)]
        try:
            for item in sockets:
                item.bind((f"{self.net}.1", 0))
            return [item.getsockname()[1] for item in sockets]
        except OSError as error:
            raise CannotRun(f"no port on loopback: {error}") from error
        finally:
            for item in sockets:
                item.close()

    def add(self, name, role, number):
        ip = f"{self.net}.{(11 if role == 'control' else 41) + number}"
        self.machines[name] = Machine(name, role, ip, f"zone-{'abcd'[number % 4]}")

    def of_role(self, role):
        return [m for m in self.machines.values() if m.role == role]

    def controls(self):
        return [(m.ip, self.ports[0]) for m in self.of_role("control")]

    def front(self, machine):
        return (machine.ip, self.ports[1])

    def fields(self, machine, first):
        return {
            "node": machine.name, "ip": machine.ip, "zone": machine.zone,
            "listen": {"control": f"{machine.ip}:{self.ports[0]}",
                       "front": f"{machine.ip}:{self.ports[1]}",
                       "ready": f"{machine.ip}:{self.ports[2]}"},
            "portRange": [self.ports[3], self.ports[4]],
            "seeds": [f"{ip}:{port}" for ip, port in self.controls()[:3]],
            "bootstrap": first, "dataDir": str(self.folder / f"{machine.name}.data"),
            "heartbeatMs": self.HEARTBEAT_MS, "bounds": self.BOUNDS,
            "tolerate": {"machines": 1, "zones": 1, "regions": 0},
        }

    def start(self, machine, first=False):
        role = self.deploy["roles"][machine.role]
        template = (ROOT / role["template"]).read_text()
        settings = self.folder / f"{machine.name}.conf"
        settings.write_text(render(template, self.fields(machine, first)))
        words = [str(settings) if word == "/etc/carobtide/node.conf" else word
                 for word in role["run"].split()]
        if not (ROOT / words[0]).exists():
            raise CannotRun(f"{words[0]} is not built")
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                if name in os.environ}
        with open(self.folder / f"{machine.name}.log", "ab") as log:
            machine.process = subprocess.Popen([str(ROOT / words[0]), *words[1:]], cwd=ROOT,
                                               env=keep, stdout=log, stderr=log)
        self.record(f"platform: {machine.name} started")

    def start_all(self):
        for machine in self.machines.values():
            self.start(machine, first=True)

    def watch(self):
        """Ends what uses more than its memory; starts again what has ended."""
        page = os.sysconf("SC_PAGE_SIZE")
        while not self.stopping:
            for machine in self.machines.values():
                process = machine.process
                if process is None:
                    continue
                if process.poll() is not None:
                    with self.guard:
                        if not self.stopping and machine.process is process:
                            machine.ends += 1
                            self.record(f"platform: {machine.name} has ended "
                                        f"({process.returncode})")
                            self.start(machine)
                    continue
                try:
                    used = int(pathlib.Path(f"/proc/{process.pid}/statm")
                               .read_text().split()[1]) * page
                except (OSError, IndexError):
                    continue
                machine.peak = max(machine.peak, used)
                if self.memory_mb and used > self.memory_mb * 2 ** 20:
                    self.record(f"platform: {machine.name} uses {used >> 20} MB of "
                                f"{self.memory_mb} MB: killed")
                    process.kill()
                    process.wait()
            time.sleep(0.01)

    def kill(self, machine, sign=signal.SIGKILL):
        """A planned end, not one of its own; it is not started again."""
        with self.guard:
            process, machine.process = machine.process, None
        process.send_signal(sign)
        process.wait()
        self.record(f"platform: {machine.name} killed")

    def close(self):
        self.stopping = True
        with self.guard:
            for machine in self.machines.values():
                if machine.process is not None:
                    machine.process.kill()
                    machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def put(self, config):
        """The operator: the same order to one daemon after the other."""
        text = json.dumps(config)
        limit = time.monotonic() + 20
        while time.monotonic() < limit:
            for address in self.controls():
                try:
                    status, _, _ = call(address, "POST", "/-/Config.Put", text, timeout=2)
                except OSError:
                    continue
                if status == 200:
                    self.record(f"operator: config {config['version']} acknowledged")
                    return
                if status < 500:
                    raise CannotRun(f"the config was refused: {status}")
            time.sleep(0.2)
        raise CannotRun("no config was acknowledged")

    def await_ready(self):
        limit = time.monotonic() + 20
        while time.monotonic() < limit:
            if all(self.is_ready(m) for m in self.of_role("edge")):
                return
            time.sleep(0.1)
        raise CannotRun("the edges did not become ready")

    def is_ready(self, machine):
        try:
            return call((machine.ip, self.ports[2]), "GET", "/-/readiness",
                        timeout=1)[0] == 200
        except OSError:
            return False


def call(address, method, path, body=None, headers=None, timeout=5.0, source=None):
    """One request on a channel of its own: status, headers, body."""
    channel = http.client.HTTPConnection(*address, timeout=timeout,
                                         source_address=source)
    try:
        channel.request(method, path, body=body, headers=headers or {})
        answer = channel.getresponse()
        return answer.status, answer.headers, answer.read()
    except http.client.HTTPException as error:
        raise OSError(repr(error)) from error
    finally:
        channel.close()


class Replica:
    """A sound replica of a plain service, with its pings.

    Answers come after `work_s`. `misbehave` may take the channel of a request
    over: it gets the channel and the request's headers, and returns True then.
    """

    def __init__(self, rig, name, service, ip, port=0, slots=6, work_s=0.03,
                 misbehave=None):
        self.rig, self.name, self.service, self.slots = rig, name, service, slots
        self.work_s, self.misbehave = work_s, misbehave
        self.born, self.seq, self.state = int(time.time() * 1000), 0, "ready"
        self.ran = []
        self.is_up = True
        self.channels = set()
        self.room = threading.Semaphore(slots)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(256)
        self.address = self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()
        self.beating = threading.Thread(target=self.beat, daemon=True)
        self.beating.start()

    def ping(self, **other):
        """The body of a ping."""
        self.seq += 1
        return {"service": self.service, "address": "%s:%d" % self.address,
                "zone": "zone-a", "version": "v1", "slots": self.slots,
                "state": self.state, "coldLeftMs": 0, "seq": self.seq,
                "born": self.born} | other

    def tell(self, path, body):
        controls = self.rig.controls()
        random.shuffle(controls)
        for address in controls:
            try:
                if call(address, "POST", path, json.dumps(body), timeout=1)[0] // 100 == 2:
                    return address
            except OSError:
                continue
        return None

    def beat(self):
        while self.is_up:
            self.tell(f"/-/Instances.Heartbeat/{self.name}", self.ping())
            time.sleep(self.rig.HEARTBEAT_MS / 1000 * random.uniform(0.95, 1.0))

    def leave(self, linger_s=2.0):
        """Planned: says that it drains, serves on, says that it is gone, ends."""
        self.state = "draining"
        self.rig.record(f"replica {self.name}: draining")
        self.tell(f"/-/Instances.Heartbeat/{self.name}", self.ping())
        time.sleep(linger_s)
        self.is_up = False
        self.beating.join()
        to = self.tell(f"/-/Instances.Deregister/{self.name}", {"born": self.born})
        self.rig.record(f"replica {self.name}: deregistered at {to}")
        time.sleep(0.2)
        self.close()

    def close(self):
        self.is_up = False
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for channel in list(self.channels):
            try:
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def accept(self):
        while self.is_up:
            try:
                channel, _ = self.listener.accept()
            except OSError:
                return
            channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.channels.add(channel)
            threading.Thread(target=self.serve, args=(channel,), daemon=True).start()

    def serve(self, channel):
        source = channel.makefile("rb")
        try:
            while True:
                line = source.readline()
                if not line:
                    return
                method, path = line.split()[:2]
                headers = {}
                while (line := source.readline()) not in (b"\r\n", b""):
                    key, _, value = line.decode("latin-1").partition(":")
                    headers[key.strip().lower()] = value.strip()
                body = source.read(int(headers.get("content-length", 0)))
                if not self.answer(channel, method.decode(), path.decode(), headers, body):
                    return
        except (OSError, ValueError):
            pass  # the daemon has closed the channel, or ended
        finally:
            self.channels.discard(channel)
            source.close()
            channel.close()

    def answer(self, channel, method, path, headers, body):
        request = headers.get("x-carobtide-request-id", "")
        expected = headers.get("x-carobtide-expect-instance", self.name)
        if expected != self.name:
            self.send(channel, 421, request, b"", "X-Carobtide-Not-Run: 1\r\n")
            return True
        if not request:
            self.send(channel, 400, "", b"", "X-Carobtide-Not-Run: 1\r\n")
            return True
        with self.room:
            self.ran.append(request)
            self.rig.record(f"replica {self.name}: runs {request} {method} {path}")
            if self.misbehave and self.misbehave(self, channel, headers):
                return False
            time.sleep(self.work_s)
        self.send(channel, 200, request, b"x" * 800,
                  f"X-Carobtide-Response-Stamp: {self.name}.{request}\r\n")
        return True

    @staticmethod
    def send(channel, status, request, body, more=""):
        echo = f"X-Carobtide-Request-Id: {request}\r\n" if request else ""
        channel.sendall(f"HTTP/1.1 {status} -\r\n{echo}{more}"
                        f"Content-Length: {len(body)}\r\n\r\n".encode() + body)


class Requests:
    """Requesters: one channel a request; counts how requests ended."""

    def __init__(self, rig):
        self.rig = rig
        self.number = 0
        self.ends = []
        self.lock = threading.Lock()

    def ask(self, machine, method, path, deadline_ms, host="shop.example", headers=None,
            body=None, source=None):
        with self.lock:
            self.number += 1
            request = f"{self.number:08x}"
        sent = time.monotonic()
        fields = {"Host": host, "X-Carobtide-Request-Id": request,
                  "X-Carobtide-Deadline-Ms": str(deadline_ms)} | (headers or {})
        try:
            status, answered, text = call(self.rig.front(machine), method, path, body, fields,
                                          timeout=deadline_ms / 1000, source=source)
            by = "a replica" if "X-Carobtide-Response-Stamp" in answered else "the system"
            end = f"{status} of {by}"
            if status >= 500 and by == "the system":
                end += f" ({text[:60].decode('latin-1').strip()})"
        except OSError as error:
            status, end = 0, f"no answer: {error}"
        self.rig.record(f"requester: {request} {method} {path} at {machine.name}: {end}")
        with self.lock:
            self.ends.append((sent, path, status, machine.name))
        return status


def run(folder, case, **options):
    """Runs a case in its folder; the process ends with the case's verdict."""
    record = Record(folder)
    verdict = NOT_RUN
    rig = None
    done = threading.Event()

    def expire():
        if not done.wait(LONGEST_S):
            record("the script took too long")
            if rig:
                rig.close()
            os._exit(NOT_RUN)

    def stop(*_):
        record("the script was stopped")
        if rig:
            rig.close()
        os._exit(NOT_RUN)

    for sign in (signal.SIGTERM, signal.SIGINT):
        signal.signal(sign, stop)
    threading.Thread(target=expire, daemon=True).start()
    try:
        rig = Rig(record, **options)
        rig.start_all()
        verdict = case(rig, record)
    except CannotRun as error:
        record(f"cannot run: {error}")
        print(f"cannot run: {error}")
    except Exception as error:  # a fault of the script is no verdict
        record(f"the script failed: {error!r}")
        print(f"the script failed: {error!r}")
    finally:
        done.set()
        if rig:
            rig.close()
    record(f"verdict: {['held', 'broken', 'not run'][verdict]}")
    sys.stdout.flush()
    os._exit(verdict)
