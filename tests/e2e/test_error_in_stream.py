"""An answer that cannot go on with an engine's stream does not get into it.

Two engines that write what the test says: a stream begins at one, breaks off,
and the next engine answers with something else.
"""

import http.client
import http.server
import json
import socket
import threading

from harness import CALLER_TOKEN, Cluster, make_bundle, request, wait_for

EVENT = b'data: {"choices":[{"delta":{"content":"x"}}]}\n\n'
# Status and content type of the next engine's answer.
NEXT = [(410, "text/plain"), (400, "application/json"), (200, "application/json"),
        (200, "text/plain"), (400, "text/event-stream")]


class Engine:
    """Begins streams and breaks them off; answers those that go on with an error."""

    def __init__(self, daemon, name):
        self.daemon = daemon
        self.name = name
        self.next = None
        self.resumed = 0
        self.resident = []
        self.closing = threading.Event()
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                if self.path == "/orders":
                    outer.take_order(body)
                    self.send_response(200)
                    self.send_header("Content-Length", "0")
                    self.end_headers()
                    return
                if self.headers["Carobtide-Resume-Offset"] is None:
                    status, kind = 200, "text/event-stream"
                else:
                    outer.resumed += 1
                    status, kind = outer.next
                self.send_response(status)
                for name in ("Carobtide-Request-Id", "Carobtide-Attempt"):
                    self.send_header(name, self.headers[name])
                self.send_header("Content-Type", kind)
                if self.headers["Carobtide-Resume-Offset"] is None:
                    self.send_header("Transfer-Encoding", "chunked")
                    self.end_headers()
                    self.wfile.write(b"%x\r\n%s\r\n" % (len(EVENT), EVENT))
                    self.wfile.flush()
                    self.close_connection = True
                    return
                wrong = b"data: wrong\n\n"
                self.send_header("Content-Length", str(len(wrong)))
                self.end_headers()
                self.wfile.write(wrong)

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.announce, daemon=True).start()

    def take_order(self, order):
        if order["action"] == "load":
            self.resident.append({
                "model": order["model"], "adapter": order["adapter"],
                "version": order["version"], "memory_bytes": order["memory"],
                "order_id": order["order_id"]})

    def announce(self):
        sequence = 0
        while not self.closing.wait(0.2):
            sequence += 1
            try:
                request(self.daemon.callers, "POST", "/targets/announce", json.dumps({
                    "target": self.name, "incarnation": 1, "sequence": sequence,
                    "failure_domain": "a",
                    "address": f"127.0.0.1:{self.server.server_port}",
                    "kind": "engine", "role": "mixed", "pool": "engines",
                    "memory_bytes": 1 << 36, "resident": self.resident,
                    "load": {"age_ms": 0, "running": 0, "waiting": 0, "kv_used": 0,
                             "slots": 8}}))
            except (OSError, http.client.HTTPException):
                pass  # announced again soon


def stream(daemon):
    """All bytes that a caller gets for a streamed completion."""
    body = json.dumps({"model": "model-0", "max_tokens": 8, "stream": True,
                       "messages": [{"role": "user", "content": "a story"}]})
    with socket.create_connection(("127.0.0.1", daemon.callers), timeout=60) as caller:
        caller.sendall(
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            f"Authorization: Bearer {CALLER_TOKEN}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
        received = b""
        while True:
            try:
                part = caller.recv(65536)
            except ConnectionResetError:
                return received
            if not part:
                return received
            received += part


def resumed_stream(daemon, engines):
    """A stream that was sent to a second engine; nothing while one is shunned."""
    before = sum(engine.resumed for engine in engines)
    received = stream(daemon)
    return received if sum(engine.resumed for engine in engines) > before else None


def main():
    with Cluster() as cluster:
        wait_for(cluster.leader, "a leader")
        daemon = cluster.daemons[0]
        engines = [Engine(daemon, name) for name in ("engine-0", "engine-1")]
        wait_for(lambda: len(cluster.targets()) == 2, "the engines")
        cluster.roll(make_bundle(models=1, services=False, min_replicas=2), "shop", 1)
        cluster.wait_reachable()
        wait_for(lambda: all(item["resident"] for item in cluster.targets()),
                 "both engines to hold the model")
        for answer in NEXT:
            for engine in engines:
                engine.next = answer
            received = wait_for(lambda: resumed_stream(daemon, engines),
                                "a stream that went on at the other engine")
            assert received.count(EVENT) == 1, (answer, received)
            assert b"wrong" not in received, (answer, received)
            assert received.count(b"HTTP/1.1 ") == 1, (answer, received)
            assert not received.endswith(b"0\r\n\r\n"), (answer, received)
        for engine in engines:
            engine.closing.set()


if __name__ == "__main__":
    main()
