"""A daemon that cannot start yet takes its settings as they are by then."""

import json
import socket
import time

from harness import Cluster, free_ports, wait_for


def main():
    with Cluster() as cluster:
        daemon = cluster.daemons[0]
        path = cluster.folder / f"{daemon.name}.yaml"
        log = cluster.folder / f"{daemon.name}.log"
        daemon.kill()
        with socket.socket() as holder:
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            holder.bind(("127.0.0.1", daemon.operators))
            holder.listen(1)
            log.write_text("")
            daemon.start()
            wait_for(lambda: "in use" in log.read_text(), "a try to start")
            daemon.operators = free_ports(1)[0]
            text = json.dumps(daemon.settings(), indent=1)
            path.write_text(text[:len(text) // 2])
            wait_for(lambda: "settings.read" in log.read_text()
                     or daemon.process.poll() is not None, "a read of half of them")
            time.sleep(0.6)
            assert daemon.process.poll() is None, daemon.process.returncode
            path.write_text(text)
            wait_for(lambda: daemon.is_ready() or daemon.process.poll() is not None,
                     "the daemon at another port")
        assert daemon.process.poll() is None, daemon.process.returncode


if __name__ == "__main__":
    main()
