"""Target that sends bytes without end, as fast as they are read.

A process of its own, since a sender in the process under test would run by turns with
the green threads that read from it.

    python flooding.py FIRST AGAIN

FIRST is sent once on each connection and AGAIN then repeated, both in hexadecimal.
"""

import socket
import sys
import threading

BLOCK_BYTES = 64 * 1024


def serve(connection, first, again):
    """Send until the connection is closed."""
    try:
        connection.recv(65536)
        connection.sendall(first)
        while True:
            connection.sendall(again)
    except OSError:
        connection.close()


def main():
    """Print the address that this process listens on, and serve connections."""
    first, again = (bytes.fromhex(argument) for argument in sys.argv[1:])
    again *= max(1, BLOCK_BYTES // len(again))
    listener = socket.create_server(("127.0.0.1", 0))
    print("{}:{}".format(*listener.getsockname()), flush=True)
    while True:
        connection, _ = listener.accept()
        arguments = (connection, first, again)
        threading.Thread(target=serve, args=arguments, daemon=True).start()


if __name__ == "__main__":
    main()
