"""What the load tool holds on one core: rates it is asked for, how late it runs, and what of a core it uses.

    python benchmarks/lab_load.py [RATE ...]

The server is another process that answers at once what a lab's node would.  Beside each rate stands the
tool's CPU time a wish as a multiple of the server's, of the same run, so that machines can be compared.
"""

import asyncio
import resource
import subprocess
import sys

import uvloop

from roadlb.lab.incident.schema import Traffic
from roadlb.lab.load import load
from roadlb.lab.parties.bodies import answer_body, asked

RATES = (500, 1_000, 2_000, 3_000, 4_000, 5_000)
SECONDS = 4.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


class AtOnce(asyncio.Protocol):
    """Reads just enough of a request to answer it rightly."""

    def connection_made(self, transport):
        self.transport, self.data = transport, b""

    def data_received(self, data):
        self.data += data
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            line, *lines = self.data[:end].decode().split("\r\n")
            headers = dict(text.split(": ", 1) for text in lines)
            whole = end + 4 + int(headers.get("Content-Length", 0))
            if len(self.data) < whole:
                return
            body, self.data = self.data[end + 4 : whole], self.data[whole:]
            method, target, _ = line.split(" ")
            there = asked(method, target, body)
            answer = answer_body(headers.get("X-Correlation-Id", ""), there, "g", 0, 1, 600)
            self.transport.write(HEAD % len(answer) + answer)


async def serve():
    server = await asyncio.get_running_loop().create_server(AtOnce, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    while await asyncio.to_thread(sys.stdin.readline):
        used = resource.getrusage(resource.RUSAGE_SELF)
        print(used.ru_utime + used.ru_stime, flush=True)


def cpu_s(server):
    server.stdin.write("\n")
    server.stdin.flush()
    return float(server.stdout.readline())


def main(rates):
    server = subprocess.Popen(
        [sys.executable, __file__, "serve"], text=True, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    port = int(server.stdout.readline())
    print(
        f"{'asked/s':>8}{'sent/s':>8}{'served':>8}{'core':>6}{'of the server':>15}{'late p50':>10}"
        f"{'p99':>8}{'max ms':>8}"
    )
    for rate in rates:
        before = cpu_s(server)
        result = uvloop.run(
            load(f"http://127.0.0.1:{port}", Traffic(rate=float(rate)), SECONDS, lambda second, figures: None)
        )
        late, spent = result.late_ms, cpu_s(server) - before
        print(
            f"{rate:8}{result.counts['wished'] / SECONDS:8.0f}{result.counts['served']:8}"
            f"{result.cpu_s / result.seconds:6.2f}{result.cpu_s / spent:15.2f}{late['p50']:10.2f}"
            f"{late['p99']:8.2f}{late['max']:8.2f}",
            flush=True,
        )
    server.stdin.close()
    server.wait()


if __name__ == "__main__":
    if sys.argv[1:] == ["serve"]:
        uvloop.run(serve())
    else:
        main([int(rate) for rate in sys.argv[1:]] or RATES)
