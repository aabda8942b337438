"""Garbage at every port costs one connection and nothing else."""

import json
import random
import socket

from harness import CALLER_TOKEN, Cluster, make_bundle, request, wait_for

SEED = 5
ROUNDS = 40


def send_raw(port, data):
    with socket.create_connection(("127.0.0.1", port), timeout=20) as connection:
        answer = b""
        try:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            while part := connection.recv(65536):
                answer += part
        except OSError:
            pass
        return answer


def main():
    choice = random.Random(SEED)
    with Cluster() as cluster:
        wait_for(cluster.leader, "a leader")
        cluster.standin("target", "--pool", "engines", "--tokens-per-second", 500)
        wait_for(lambda: len(cluster.targets()) == 1, "a target")
        cluster.roll(make_bundle(models=1, services=False), "shop", 1)
        cluster.wait_reachable()
        daemon = cluster.daemons[0]

        for _ in range(ROUNDS):
            garbage = choice.randbytes(choice.randrange(1, 2000))
            for port in (daemon.callers, daemon.operators, daemon.peers):
                send_raw(port, garbage)
        # A frame header that announces far too much, and a cut frame.
        magic = bytes.fromhex("43524254")
        send_raw(daemon.peers, magic + b"\x01\x00\x01\x00" + b"\xff" * 16)
        send_raw(daemon.peers, magic + b"\x01\x00\x01\x00" + b"\x10\x00\x00\x00" + b"\x00" * 12)

        large = b"POST / HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 100_000 + b"\r\n\r\n"
        assert b" 431 " in send_raw(daemon.callers, large)
        body = b"POST /targets/announce HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n"
        assert b" 413 " in send_raw(daemon.callers, body)

        bearer = {"Authorization": f"Bearer {CALLER_TOKEN}"}
        for text in ("", "{", "[]", '{"model":7}', '{"model":"model-0","max_tokens":-1}',
                     '{"model":"model-0","max_tokens":"many"}', "[" * 100_000):
            answer = request(daemon.callers, "POST", "/v1/completions", text, bearer)
            assert answer.status == 400, (text[:40], answer.status)
            assert answer.outcome == "not-run"
        for text in ("", "{}", '{"target":"x"}', '{"target":"x","incarnation":"y"}'):
            answer = request(daemon.callers, "POST", "/targets/announce", text)
            assert answer.status == 400, (text, answer.status)
            error = answer.json()["error"]
            assert error["step"] and error["peer"].startswith("127.0.0.1:"), error
        for text in ("", "name: [", "name: x\nversion: 0\nunknown: 1\n"):
            answer = daemon.operate("POST", "/bundles", text)
            assert answer.status == 400, (text, answer.status)
        for replica in ("x", "", "-1", "99999999999999999999999"):
            change = json.dumps({"action": "remove", "replica": replica})
            answer = daemon.operate("POST", "/members", change)
            assert answer.status == 400, (replica, answer.status, answer.body)
        assert request(daemon.operators, "GET", "/status").status == 401

        assert daemon.complete("model-0", "which lug?").status == 200
        assert len(cluster.targets()) == 1


if __name__ == "__main__":
    main()
