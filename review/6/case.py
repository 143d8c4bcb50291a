"""An answer without a length that is reset on the way is passed on as complete."""

import socket
import struct
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins-2"))

from fleet import Fleet, Server, finish, has_trouble  # noqa: E402

VM = "front-rosario-1"
REQUESTS = 40
# The largest dose of the site is 0.03 of the answers of 0.6 of the servers.
SPOILED = {20}
BODY = b"clearance note " * 60
RESET = struct.pack("ii", 1, 0)


class UnframedServer(Server):
    """Server whose answers end with their connection; some are reset on the way."""

    spoiled = frozenset()

    def answer_plain(self, handler):
        """Send an answer without a length."""
        request_id = handler.headers["X-Request-Id"]
        handler.send_response_only(200)
        for name, value in self._answer_headers(handler):
            handler.send_header(name, value)
        handler.send_header("Connection", "close")
        handler.end_headers()
        handler.close_connection = True
        if request_id not in self.spoiled:
            handler.wfile.write(BODY)
            return
        handler.wfile.write(BODY[:300])
        handler.wfile.flush()
        # The bytes so far arrive before the reset.
        time.sleep(0.1)
        self.record(f"{self.id} resets its answer to {request_id} after 300 bytes")
        handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self._server.connections.discard(handler.connection)
        handler.wfile.close()
        handler.rfile.close()
        handler.connection.close()


def main():
    """Read answers at a plain route, one of which is reset on the way."""
    with Fleet(CASE) as fleet:
        desks = [UnframedServer(fleet.record, f"d{n}", "desk") for n in (1, 2, 3)]
        for server in fleet.engines + desks:
            fleet.register(server)
        fleet.configure()
        fleet.start_entry(VM)
        fleet.wait_ready(VM)
        if has_trouble():
            for desk in desks:
                desk.spoiled = frozenset(f"plain{n}" for n in SPOILED)
        breaks = []
        for number in range(REQUESTS):
            headers = {"X-Request-Id": f"plain{number}", "X-Deadline-Ms": "2000"}
            status, got, body = fleet.call(VM, "POST", "/desk/a", b"body", headers)
            if 200 <= status < 300 and body != BODY:
                breaks.append(
                    f"MIXED: the client got {status} for plain{number} as complete, "
                    f"with the stamp {got.get('X-Server-Stamp')} and {len(body)} of "
                    f"{len(BODY)} bytes"
                )
        finish(fleet, breaks)


main()
