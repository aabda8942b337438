"""A service's answer that broke off never reaches its caller as a whole one.

The service states neither length nor chunks, so that only the end of its
connection ends an answer, and dies while it answers.
"""

import http.client
import json
import socket
import threading
import time

from harness import CALLER_TOKEN, Cluster, make_bundle, request, wait_for

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\n\r\n"
EVENT = b"id: 1\ndata: x\n\n"


class Service:
    """Writes one answer for each request; dies with it if told to."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.ran = 0
        self.incarnation = 0
        self.closing = threading.Event()
        self.answer = b""
        self.dies = False
        self.start()
        self.announcer = threading.Thread(target=self.announce, daemon=True)
        self.announcer.start()

    def start(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.incarnation += 1
        threading.Thread(target=self.serve, args=(self.listener,), daemon=True).start()

    def serve(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with connection:
                if not connection.recv(65536):
                    continue  # a probe
                self.ran += 1
                connection.sendall(self.answer)
                if self.dies:
                    listener.shutdown(socket.SHUT_RDWR)
                    listener.close()
                    return

    def announce(self):
        sequence = 0
        while not self.closing.wait(0.2):
            sequence += 1
            try:
                request(self.daemon.callers, "POST", "/targets/announce", json.dumps({
                    "target": "desk-0", "incarnation": self.incarnation,
                    "sequence": sequence, "failure_domain": "a",
                    "address": f"127.0.0.1:{self.port}", "kind": "service",
                    "role": "mixed", "pool": "desk", "memory_bytes": 1,
                    "load": {"age_ms": 0, "running": 0, "waiting": 0, "kv_used": 0,
                             "slots": 8}}))
            except (OSError, http.client.HTTPException):
                pass  # announced again soon

    def revive(self):
        """A new process at another address, known to the daemon."""
        self.start()
        wait_for(lambda: any(item["incarnation"] == self.incarnation
                             for item in self.daemon.cluster.targets()),
                 "the service's new process")


def fetch(daemon, method, path, key=None):
    """Status, outcome and body; the body is None if the answer was cut."""
    connection = http.client.HTTPConnection("127.0.0.1", daemon.callers, timeout=60)
    headers = {"Authorization": f"Bearer {CALLER_TOKEN}"}
    if key:
        headers["Idempotency-Key"] = key
    try:
        connection.request(method, path, body=None if method == "GET" else "{}",
                           headers=headers)
        response = connection.getresponse()
        outcome = response.getheader("Carobtide-Outcome", "")
        try:
            return response.status, outcome, response.read()
        except (OSError, http.client.HTTPException):
            return response.status, outcome, None
    finally:
        connection.close()


def main():
    with Cluster() as cluster:
        wait_for(cluster.leader, "a leader")
        daemon = cluster.daemons[0]
        service = Service(daemon)
        wait_for(lambda: len(cluster.targets()) == 1, "the service")
        cluster.standin("target", "--pool", "engines")
        wait_for(lambda: len(cluster.targets()) == 2, "an engine")
        cluster.roll(make_bundle(models=1), "shop", 1)
        cluster.wait_reachable()

        # Of a target that lives, such an answer is whole.
        service.answer = HEAD % b"text/plain" + b"done"
        assert fetch(daemon, "GET", "/services/orders/stock")[::2] == (200, b"done")
        service.answer = HEAD % b"text/event-stream" + EVENT
        assert fetch(daemon, "GET", "/services/orders/stock")[::2] == (200, EVENT)

        # A stream that ends inside an event was cut, whoever lives.
        service.answer = HEAD % b"text/event-stream" + EVENT + b"id: 2\nda"
        assert fetch(daemon, "GET", "/services/orders/stock")[2] is None

        service.dies = True
        service.answer = HEAD % b"text/event-stream" + EVENT
        assert fetch(daemon, "GET", "/services/orders/stock")[2] is None

        service.revive()
        service.answer = HEAD % b"text/plain" + b"do"
        status, _, body = fetch(daemon, "GET", "/services/orders/stock")
        assert status >= 500, (status, body)

        service.revive()
        ran = service.ran
        status, outcome, body = fetch(daemon, "POST", "/services/orders/order", "k-1")
        assert status >= 500 and outcome == "unknown", (status, outcome, body)
        assert service.ran == ran + 1
        service.closing.set()


if __name__ == "__main__":
    main()
