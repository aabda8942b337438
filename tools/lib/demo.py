"""The steps of tools/demo. Exits non-zero if any step failed."""

import http.client
import json
import sys

from cluster import ROOT, Cluster, StepFailed, http_call, wait_until

TOKEN = "demo-counter-token"
BUNDLE = ROOT / "examples/demo/bundle.yaml"


def headers(token=TOKEN, **more):
    fields = {"Authorization": f"Bearer {token}"}
    fields.update({"Content-Type": "application/json"})
    fields.update(more)
    return fields


def chat(model, text, stream=False):
    message = {"role": "user", "content": text}
    return json.dumps(
        {"model": model, "messages": [message], "stream": stream}
    )


def step(text):
    print(f"\n== {text}", flush=True)


def expect(condition, what):
    if not condition:
        raise StepFailed(what)


def show(status, body):
    print(f"{status} {body.strip()[:300]}", flush=True)


def ask_whole(daemon):
    step("a whole answer")
    status, got, body = http_call(
        daemon.callers,
        "POST",
        "/v1/chat/completions",
        chat("advice", "How high may stilts for children be? answer-tokens=12"),
        headers(),
    )
    show(status, body)
    expect(status == 200, f"expected 200, got {status}")
    expect(got["Carobtide-Outcome"] == "ran", "expected Carobtide-Outcome: ran")
    tokens = json.loads(body)["usage"]["completion_tokens"]
    expect(tokens == 12, f"expected 12 tokens, got {tokens}")


def ask_streamed(daemon):
    step("a streamed answer, through an adapter")
    host, port = daemon.callers.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    body = chat("advice:stilts", "And for adults? answer-tokens=24", True)
    connection.request("POST", "/v1/chat/completions", body, headers())
    response = connection.getresponse()
    expect(response.status == 200, f"expected 200, got {response.status}")
    words, done = 0, False
    for line in response:
        data = line.decode().strip()
        if data == "data: [DONE]":
            done = True
        elif data.startswith("data: "):
            delta = json.loads(data[6:])["choices"][0]["delta"]
            if "content" in delta:
                words += 1
                print(delta["content"], end="", flush=True)
    print()
    connection.close()
    expect(done and words == 24, f"expected 24 words and an end, got {words}")


def ask_wrongly(daemon):
    for text, token, model, wanted in (
        ("an unknown model gets 404", TOKEN, "no-such-model", 404),
        ("an unknown caller gets 401", "no-such-token-at-all", "advice", 401),
        (
            "a caller without entitlement gets 403",
            "demo-overnight-token",
            "advice",
            403,
        ),
    ):
        step(text)
        status, got, body = http_call(
            daemon.callers,
            "POST",
            "/v1/chat/completions",
            chat(model, "hello"),
            headers(token),
        )
        show(status, body)
        expect(status == wanted, f"expected {wanted}, got {status}")
        expect(got["Carobtide-Outcome"] == "not-run", "expected not-run")


def order_twice(daemon, services):
    step("an order sent twice under one Idempotency-Key runs once")
    fields = headers(**{"Idempotency-Key": "order-0001"})
    body = json.dumps({"item": "stilts", "count": 2})
    answers = []
    for _ in range(2):
        status, _, answer = http_call(
            daemon.callers, "POST", "/services/orders/book", body, fields
        )
        show(status, answer)
        expect(status == 200, f"expected 200, got {status}")
        answers.append(answer)
    expect(answers[0] == answers[1], "the second answer is not the stored one")
    runs = 0
    for target in services.targets():
        _, _, text = http_call(target["address"], "GET", "/counts")
        runs += json.loads(text)["by_key"].get("order-0001", 0)
    print(f"the services ran it {runs} time(s)")
    expect(runs == 1, f"expected one run, got {runs}")
    step("other content under the same key gets 409")
    status, _, answer = http_call(
        daemon.callers, "POST", "/services/orders/book", body + " ", fields
    )
    show(status, answer)
    expect(status == 409, f"expected 409, got {status}")


def show_state(cluster):
    step("status, targets and the time line")
    for command in ("status", "targets"):
        print(cluster.cli(command).stdout)
    lines = cluster.cli("timeline").stdout.splitlines()
    print("\n".join([lines[0]] + lines[-12:]))
    expect(len(lines) > 12, "the time line is too short")


def run(cluster):
    step("one daemon")
    cluster.start_daemons(1, ["a"])
    cluster.wait_ready()
    daemon = cluster.daemons[0]
    print(f"callers {daemon.callers}, operators {daemon.operators}")
    step("stand-in engines and services")
    cluster.start_standin(
        "target --count 3 --pool prop-llm --memory 24GiB "
        "--leave-grace 1s".split()
    )
    services = cluster.start_standin(
        "service --count 2 --pool shop-api --leave-grace 1s".split()
    )
    for standin in cluster.standins:
        for target in standin.targets():
            print(f"{target['target']} at {target['address']}")
    wait_until(
        "the daemon lists the targets",
        lambda: cluster.cli("targets").stdout.count("live") == 5,
    )
    step("submit, sign off and roll the bundle; wait for its loads")
    cluster.roll(str(BUNDLE))
    print(cluster.cli("bundle", "show").stdout.strip())
    ask_whole(daemon)
    ask_streamed(daemon)
    ask_wrongly(daemon)
    order_twice(daemon, services)
    show_state(cluster)
    step("stop every process gracefully")
    wrong = cluster.stop_all()
    expect(not wrong, "did not exit with 0: " + ", ".join(wrong))


def main():
    try:
        with Cluster() as cluster:
            run(cluster)
    except StepFailed as failure:
        print(f"\ndemo FAILED: {failure}", file=sys.stderr)
        return 1
    print("\ndemo passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
