"""A model whose only holder crashes and is back, empty, at its address."""

import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.append(str(HERE.parent / "common-2"))
import engine  # noqa: E402
import rig  # noqa: E402

# Parts that all requests share; the one that crashes replicas.
SHARED = ["5c1e07a2:172", "91bd3f06:300"]
DEADLY = "e4402b7d"
REPLICAS = 4
SOUND_EVERY_S = 0.4
DEADLY_EVERY_S = 1.0
# The replica is back after some seconds.
DOWN_S = float(os.environ.get("DOWN_S", "2"))


def run(record, deployments):
    deployment = rig.Deployment(record, controls=3, edges=2)
    deployments.append(deployment)
    for ip in deployment.controls + deployment.edges:
        deployment.start(ip)
    crashes, arrivals = [], []
    engine.Engine.DOWN_S = DOWN_S
    models = [engine.MODEL] + [f"{engine.MODEL}{n}" for n in range(1, REPLICAS)]
    for n in range(REPLICAS):
        # The model that is asked for is on one replica, as most models are.
        engine.Engine(deployment, record, engine.SERVICE, f"i-{n}",
                      f"{deployment.net}.{81 + n}", models=[models[n]],
                      deadly=DEADLY if rig.TROUBLE else "", crashes=crashes,
                      arrivals=arrivals)
    time.sleep(1)
    deployment.put(engine.config({"timeoutMs": 12000, "maxAttempts": 1, "resumable": False},
                                 models))
    deployment.wait_ready()
    time.sleep(6)
    requests = engine.Requests(deployment, record)
    sound, deadly = [], []
    stop = threading.Event()

    def keep_sending(every, label, parts, kept):
        while not stop.wait(every):
            requests.send_later(label, parts, kept)
    threading.Thread(target=keep_sending, daemon=True,
                     args=(SOUND_EVERY_S, "sound", SHARED, sound)).start()
    time.sleep(15)
    before = list(sound)
    record.say(f"outside disruption {engine.share(before):.2f} of {len(before)} sound requests "
               "begin")
    threading.Thread(target=keep_sending, daemon=True,
                     args=(DEADLY_EVERY_S, "deadly", [*SHARED, f"{DEADLY}:30"],
                           deadly)).start()
    time.sleep(60)
    stop.set()
    time.sleep(2)
    record.say(f"{len(deadly)} requests with the part came, {len(arrivals)} reached a replica; "
               f"{len(crashes)} crashes of replicas; each was back after {DOWN_S} s")
    fifth = (sorted(crashes)[:5] or [deadly[0][0]])[-1]
    last = max(at for at, _ in deadly)
    after = [it for it in sound if fifth + 2 * rig.CONTACT_S <= it[0] <= last]
    record.say(f"from 2 x contactMs after the last of up to five crashes, while such requests "
               f"came, {engine.share(after):.2f} of {len(after)} sound requests began at the "
               "first attempt")
    for ip in deployment.controls:
        lines = rig.call((ip, 9464), "GET", "/metrics").body.splitlines()
        record.write(f"metrics of {ip}: " + "; ".join(
            line for line in lines
            if line.startswith(("carobtide_leading", "carobtide_engine_capacity_slots",
                                "carobtide_models_missing"))))
    if len(before) < 20 or len(after) < 20 or engine.share(before) < 0.5:
        raise rig.CannotRun("too few sound requests for a verdict")
    return 1 if engine.share(after) < engine.share(before) / 2 else 0


rig.play(HERE / "record.txt", run)
