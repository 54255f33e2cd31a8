"""The corpus's other half: named answers of nodes, valid, odd and hostile."""

from __future__ import annotations

import random

from corpus import (
    CHUNKED,
    CHUNKED_BODIES,
    TRANSFER_CODINGS,
    CONNECTION_VALUES,
    CRLF,
    BODY_CHUNK,
    LAST_CHUNK,
    CONTENT_LENGTH_4,
    CONTENT_LENGTHS,
    add,
)

NODE: dict[str, bytes] = {}


def answer(
    *headers: str, status: str = "200 OK", body: str = "", version: str = "HTTP/1.1", length: bool = True
) -> str:
    """A node's answer, with its length unless told otherwise."""
    counted = [f"Content-Length: {len(body)}"] if length else []
    return CRLF.join([f"{version} {status}", *headers, *counted, "", body])


ONE = answer(body="one")
BODY_3 = "3\r\none\r\n"
add(
    NODE,
    "valid",
    {
        "200": ONE,
        "200, empty": answer(),
        "200 without a reason": answer(status="200", body="one"),
        "200 with an empty reason": answer(status="200 ", body="one"),
        "chunked": answer(CHUNKED, body=BODY_3 + LAST_CHUNK, length=False),
        "chunked, empty": answer(CHUNKED, body=LAST_CHUNK, length=False),
        "chunked in pieces": answer(CHUNKED, body="1\r\no\r\n2;x=y\r\nne\r\n" + LAST_CHUNK, length=False),
        "chunked with trailers": answer(CHUNKED, body=BODY_3 + "0\r\nX-T: 1\r\n\r\n", length=False),
        "headers": answer(
            "Content-Type: text/x",
            "X-A: 1",
            "X-a: 2",
            "Set-Cookie: a=b",
            'ETag: "1"',
            "Date: x",
            "Server: y",
            "Location: /z",
            "Content-Encoding: gzip",
            "Retry-After: 1",
            body="one",
        ),
        "headers not passed on": answer(
            "Connection: X-One",
            "X-One: 1",
            "Keep-Alive: 5",
            "Trailer: x",
            "TE: x",
            "Proxy-Authenticate: x",
            "X-Time-Left: 1",
            body="one",
        ),
        "headers with odd bytes": answer("X-A: \xe9\xff\t\x80", body="one"),
        "body of any bytes": answer(body="".join(map(chr, range(256)))),
        "65,536": answer(body="x" * 65_536),
        "65,536 in chunks": answer(
            CHUNKED,
            body="8000\r\n" + "x" * 32_768 + "\r\n8000\r\n" + "x" * 32_768 + "\r\n" + LAST_CHUNK,
            length=False,
        ),
    },
)
for status in ("100 Continue", "102 Processing", "103 Early Hints"):
    line, code = f"HTTP/1.1 {status}\r\n", status[:3]
    add(
        NODE,
        "interim",
        {
            f"{code} in front": line + "X: y\r\n\r\n" + ONE,
            f"{code} alone": line + CRLF,
            f"{code} with a length": line + "Content-Length: 3\r\n\r\n" + ONE,
        },
    )
EARLY = "HTTP/1.1 103 Early Hints\r\n\r\n"
add(
    NODE,
    "interim",
    {
        "8 in front": EARLY * 8 + ONE,
        "9 in front": EARLY * 9 + ONE,
        "20": EARLY * 20,
        "101": "HTTP/1.1 101 Go\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nx",
        "101 without Upgrade": "HTTP/1.1 101 Go\r\n\r\n" + ONE,
        "101 behind 103": EARLY + "HTTP/1.1 101 Go\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        "chunked": "HTTP/1.1 103 Early Hints\r\n" + CHUNKED + "\r\n\r\n" + LAST_CHUNK + ONE,
        "199": "HTTP/1.1 199 Odd\r\n\r\n" + ONE,
        "behind the answer": ONE + EARLY,
        "noise behind": EARLY + "noise\r\n\r\n",
        "half": EARLY[:20],
    },
)
for code in (200, 201, 204, 205, 206, 302, 304, 404, 409, 429, 500, 502, 503, 504, 600, 999):
    add(
        NODE,
        "status",
        {
            f"{code} with a body": answer(status=f"{code} S", body="one"),
            f"{code} of length 0": answer(status=f"{code} S"),
            f"{code} without a length": answer(status=f"{code} S", length=False),
        },
    )
for code in (204, 304):
    status = f"{code} S"
    add(
        NODE,
        "status",
        {
            f"{code}, chunked": answer(CHUNKED, status=status, body=BODY_3 + LAST_CHUNK, length=False),
            f"{code}, length without a body": answer("Content-Length: 3", status=status, length=False),
            f"{code}, and a second": answer(status=status, length=False) + ONE,
        },
    )
LINES = {
    "1.0": "HTTP/1.0 200 OK",
    "2.0": "HTTP/2.0 200 OK",
    "1.2": "HTTP/1.2 200 OK",
    "0.9": "HTTP/0.9 200 OK",
    "1.10": "HTTP/1.10 200 OK",
    "lower case": "http/1.1 200 OK",
    "other protocol": "ICY 200 OK",
    "RTSP": "RTSP/1.0 200 OK",
    "two spaces": "HTTP/1.1  200 OK",
    "tab": "HTTP/1.1\t200 OK",
    "two digits": "HTTP/1.1 20 OK",
    "four digits": "HTTP/1.1 2000 OK",
    "negative": "HTTP/1.1 -200 OK",
    "no status": "HTTP/1.1",
    "a word": "HTTP/1.1 OK",
    "space in front": " HTTP/1.1 200 OK",
    "no space": "HTTP/1.1200 OK",
    "000": "HTTP/1.1 000 OK",
    "099": "HTTP/1.1 099 OK",
    "reason with odd bytes": "HTTP/1.1 200 \xe9\x01",
    "reason with NUL": "HTTP/1.1 200 O\0K",
    "reason with CR": "HTTP/1.1 200 O\rK",
    "reason of 9,000": "HTTP/1.1 200 " + "x" * 9_000,
    "letter behind": "HTTP/1.1 200x OK",
    "a request": "GET / HTTP/1.1",
    "reason behind a tab": "HTTP/1.1 200\tOK",
}
add(NODE, "line", {name: f"{line}\r\nContent-Length: 3\r\n\r\none" for name, line in LINES.items()})
add(
    NODE,
    "line",
    {
        "CRLF in front": CRLF + ONE,
        "LF in front": "\n" + ONE,
        "NUL in front": "\0" + ONE,
        "CRLFs": CRLF * 3,
        "half": "HTTP/1.1 200 O",
        "first byte": "H",
        "nonsense": "nonsense\r\n\r\n",
        "one byte of noise": "\0",
        "LF line ends, and a second": (ONE + ONE).replace(CRLF, "\n"),
        "LF line ends, and a second with CRLF": ONE.replace(CRLF, "\n") + ONE,
        "LF line ends without a length": answer(body="one", length=False).replace(CRLF, "\n"),
        "LF line ends, two lengths": answer(
            CHUNKED, CONTENT_LENGTH_4, body=BODY_CHUNK + LAST_CHUNK, length=False
        ).replace(CRLF, "\n", 4),
        "LF line ends, two lengths alike": answer(
            CONTENT_LENGTH_4, CONTENT_LENGTH_4, body="body", length=False
        ).replace(CRLF, "\n"),
        "LF line ends, 20,000": answer(body="x" * 20_000).replace(CRLF, "\n"),
        "LF line ends, 102 in front": "HTTP/1.1 102 P\n\n" + ONE,
        "LF line ends": ONE.replace(CRLF, "\n"),
        "CR line ends": ONE.replace(CRLF, "\r"),
        "body without a head": "one",
        "bare LF after the line": ONE.replace("OK\r\n", "OK\n"),
        "bare LF at the end of the head": ONE.replace("\r\n\r\n", "\r\n\n"),
        "TLS alert": "\x15\x03\x03\x00\x02\x02\x50",
        "HTTP/2 settings": "\0\0\0\x04\0\0\0\0\0",
    },
)
for name, length in CONTENT_LENGTHS.items():
    raw = [] if length is None else ["Content-Length: " + length.encode().decode("latin-1")]
    add(NODE, "length", {name: answer(*raw, body="body", length=False)})
add(
    NODE,
    "length",
    {
        "two alike": answer(CONTENT_LENGTH_4, CONTENT_LENGTH_4, body="body", length=False),
        "two different": answer(CONTENT_LENGTH_4, "Content-Length: 5", body="body", length=False),
        "and chunks": answer(CONTENT_LENGTH_4, CHUNKED, body=BODY_CHUNK + LAST_CHUNK, length=False),
        "behind chunks": answer(CHUNKED, CONTENT_LENGTH_4, body=BODY_CHUNK + LAST_CHUNK, length=False),
        "folded": answer("Content-Length:", " 4", body="body", length=False),
        "behind a space": answer("Content-Length : 4", body="body", length=False),
        "65,537": answer(body="x" * 65_537),
        "3 GB": answer("Content-Length: 3000000000", body="so on", length=False),
        "short by one": answer("Content-Length: 5", body="body", length=False),
        "long by one": answer("Content-Length: 3", body="body", length=False),
        "1.0 without one": answer(version="HTTP/1.0", body="body", length=False),
        "named by Connection": answer("Connection: Content-Length", body="body"),
    },
)
for name, coding in TRANSFER_CODINGS.items():
    add(
        NODE,
        "coding",
        {name: answer("Transfer-Encoding: " + coding, body=BODY_CHUNK + LAST_CHUNK, length=False)},
    )
add(
    NODE,
    "coding",
    {
        "two headers": answer(CHUNKED, CHUNKED, body=BODY_CHUNK + LAST_CHUNK, length=False),
        "two headers, identity last": answer(
            CHUNKED, "Transfer-Encoding: identity", body=BODY_CHUNK + LAST_CHUNK, length=False
        ),
        "in 1.0": answer(CHUNKED, version="HTTP/1.0", body=BODY_CHUNK + LAST_CHUNK, length=False),
        "identity with a length": answer("Transfer-Encoding: identity", body="body"),
        "behind a space": answer("Transfer-Encoding : chunked", body=BODY_CHUNK + LAST_CHUNK, length=False),
        "of a 500": answer(CHUNKED, status="500 S", body=BODY_CHUNK + LAST_CHUNK, length=False),
        "of a 503, marked": answer(
            CHUNKED, "X-Unprocessed: 1", status="503 S", body=BODY_CHUNK + LAST_CHUNK, length=False
        ),
    },
)
add(NODE, "chunk", {name: answer(CHUNKED, body=body, length=False) for name, body in CHUNKED_BODIES.items()})
add(
    NODE,
    "header",
    {
        "folded": answer("X-A: one", " two", body="one"),
        "NUL": answer("X-A: one\0two", body="one"),
        "control byte": answer("X-A: one\x01two", body="one"),
        "missing colon": answer("X-A one", body="one"),
        "space before the colon": answer("X-A : one", body="one"),
        "no name": answer(": one", body="one"),
        "bare CR": answer("X-A: one\rX-B: two", body="one"),
        "bare LF": answer("X-A: one\nX-B: two", body="one"),
        "high byte in a name": answer("X-\xe9: one", body="one"),
        "space in a name": answer("X A: one", body="one"),
        "empty value": answer("X-A:", body="one"),
        "blanks round a value": answer("X-A: \t one \t", body="one"),
        "DEL": answer("X-A: \x7f", body="one"),
        "duplicate content type": answer("Content-Type: a", "Content-Type: b", body="one"),
        "120": answer(*[f"X-{i}: {i}" for i in range(120)], body="one"),
        "128": answer(*[f"X-{i}: {i}" for i in range(127)], body="one"),
        "129": answer(*[f"X-{i}: {i}" for i in range(128)], body="one"),
        "line of 8,100": answer("X-A: " + "x" * 8_095, body="one"),
        "line of 9,000": answer("X-A: " + "x" * 8_995, body="one"),
        "head of 16,384": answer(*["X-Fill: " + "x" * 990] * 16, "X-Rest: " + "x" * 320, body="one"),
        "head of 17,000": answer(*["X-Fill: " + "x" * 990] * 17, body="one"),
        "endless field": f"HTTP/1.1 200 OK\r\nX: {'x' * 20_000}",
        "endless fields": "HTTP/1.1 200 OK\r\n" + "X: 1234567890\r\n" * 2_000,
        "sec-websocket-key1": answer("Sec-WebSocket-Key1: a", body="one"),
    },
)
add(
    NODE,
    "behind",
    {
        "a second answer": ONE + answer(body="two"),
        "noise": ONE + "noise",
        "one byte": ONE + "x",
        "NULs": ONE + "\0\x01!!",
        "CRLF": ONE + CRLF,
        "LF": ONE + "\n",
        "half an answer": ONE + "HTTP/1.1 200 OK\r\nContent-",
        "a head": ONE + "HTTP/1.1 200 OK\r\n\r\n",
        "chunked and noise": answer(CHUNKED, body=BODY_3 + LAST_CHUNK, length=False) + "!!",
        "chunked and a second": answer(CHUNKED, body=BODY_3 + LAST_CHUNK, length=False) + answer(body="two"),
        "chunked and half an answer": answer(CHUNKED, body=BODY_3 + LAST_CHUNK, length=False) + ONE[:30],
        "chunked and one byte": answer(CHUNKED, body=BODY_3 + LAST_CHUNK, length=False) + "H",
        "chunked and a head": answer(CHUNKED, body=BODY_3 + LAST_CHUNK, length=False) + EARLY,
        "chunked and CRLF": answer(CHUNKED, body=BODY_3 + LAST_CHUNK, length=False) + CRLF,
        "500 and a second": answer(status="500 S", body="one") + answer(body="two"),
        "503 marked and noise": answer("X-Unprocessed: 1", status="503 S") + "x",
        "empty and a second": answer() + answer(body="two"),
        "204 and noise": answer(status="204 S", length=False) + "x",
        "40,000 bytes": ONE + "x" * 40_000,
        "65,536 and a second": answer(body="x" * 65_536) + ONE,
        "408": ONE + answer("Connection: close", status="408 T"),
    },
)
for name, value in CONNECTION_VALUES.items():
    add(NODE, "connection", {name: answer(f"Connection: {value}", "X-One: 1", "X-Two: 2", body="one")})
add(
    NODE,
    "connection",
    {
        "close in two headers": answer("Connection: x", "Connection: close", body="one"),
        "close, chunked": answer("Connection: close", CHUNKED, body=BODY_3 + LAST_CHUNK, length=False),
        "close, 500": answer("Connection: close", status="500 S", body="one"),
        "1.0": answer(version="HTTP/1.0", body="one"),
        "1.0 keep-alive": answer("Connection: keep-alive", version="HTTP/1.0", body="one"),
        "Proxy-Connection": answer("Proxy-Connection: close", body="one"),
        "Keep-Alive: timeout=0": answer("Keep-Alive: timeout=0", body="one"),
        "Upgrade of 200": answer("Connection: Upgrade", "Upgrade: websocket", body="one"),
        "Upgrade of 200, chunked": answer(
            "Connection: Upgrade", "Upgrade: h2c", CHUNKED, body=BODY_3 + LAST_CHUNK, length=False
        ),
        "Upgrade of 426": answer("Connection: Upgrade", "Upgrade: h2c", status="426 U", body="one"),
        "Upgrade without Connection": answer("Upgrade: websocket", body="one"),
        "Upgrade of 200, and a second": answer("Connection: Upgrade", "Upgrade: h2c", body="one") + ONE,
    },
)
for value in ("1", "0", "", "true", "01", " 1 ", "1, 1"):
    for code in (503, 504, 500, 200):
        marked = answer(f"X-Unprocessed: {value}", status=f"{code} S", body="one")
        add(NODE, "unprocessed", {f"{code} {value!r}": marked})
add(
    NODE,
    "unprocessed",
    {
        "503 twice": answer("X-Unprocessed: 1", "X-Unprocessed: 0", status="503 S", body="one"),
        "503 twice, other order": answer("X-Unprocessed: 0", "X-Unprocessed: 1", status="503 S", body="one"),
        "503 in capitals": answer("X-UNPROCESSED: 1", status="503 S"),
        "503 without a length": answer("X-Unprocessed: 1", status="503 S", length=False),
        "503 cut": answer("X-Unprocessed: 1", "Content-Length: 9", status="503 S", body="cut", length=False),
        "503 in a trailer": answer(
            CHUNKED, status="503 S", body=BODY_CHUNK + "0\r\nX-Unprocessed: 1\r\n\r\n", length=False
        ),
        "503 in an interim one": "HTTP/1.1 103 E\r\nX-Unprocessed: 1\r\n\r\n" + answer(status="503 S"),
    },
)
for report in (
    "fail_rate=0.1,q=2",
    "eps=0.1,queue=2",
    "q=2, fail_rate=0.1",
    "q=2",
    "",
    "fail_rate=x,q=2",
    "fail_rate=nan,q=2",
    "fail_rate=inf,q=2",
    "fail_rate=-1,q=2",
    "fail_rate=0,q=2,more=3",
    "\x7f=,,;",
    "fail_rate=1e400,q=1",
    "=",
    "fail_rate = 1 , q = 2 ",
    "q=1,q=2,fail_rate=0",
    "fail_rate=0,queue=7",
    "fail_rate=1_0,q=2",
    "\xe9",
):
    add(NODE, "report", {repr(report): answer(f"X-Backend-Load: {report}", body="one")})
add(
    NODE,
    "report",
    {
        "twice": answer("X-Backend-Load: fail_rate=0,q=1", "X-Backend-Load: fail_rate=0,q=2", body="one"),
        "of a 500": answer("X-Backend-Load: fail_rate=1,q=2", status="500 S"),
        "of a 503, marked": answer("X-Backend-Load: fail_rate=1,q=2", "X-Unprocessed: 1", status="503 S"),
        "of 8,000": answer("X-Backend-Load: fail_rate=0,q=1," + "x" * 7_900, body="one"),
    },
)
for group, whole in (("length", ONE), ("chunked", answer(CHUNKED, body=BODY_3 + LAST_CHUNK, length=False))):
    head = whole.index("\r\n\r\n")
    cuts = {
        "at once": 0,
        "in the version": 6,
        "in the status": 11,
        "behind the line": 17,
        "in the head": head - 3,
        "before the last LF": head + 3,
        "behind the head": head + 4,
        "in the body": head + 5,
        "before the last byte": len(whole) - 1,
    }
    add(NODE, "cut", {f"{group}, {name}": whole[:at] for name, at in cuts.items()})


def mixtures() -> None:
    """Answers of parts put together by chance, always the same; most parts are valid."""
    chance = random.Random(9110).random

    def one(parts: list[str]) -> str:
        return parts[int(chance() * len(parts))]

    statuses = ["200 OK"] * 6 + ["503 S", "500 S", "204 S", "404 S"]
    framings = (
        [("Content-Length: 3", "one")] * 4
        + [(CHUNKED, BODY_3 + LAST_CHUNK)] * 4
        + [
            (CHUNKED, "4\r\none\r\n" + LAST_CHUNK),
            ("Content-Length: 2", "one"),
            (CHUNKED + CRLF + CONTENT_LENGTH_4, BODY_CHUNK + LAST_CHUNK),
            ("X: y", ""),
            ("Content-Length: 0", ""),
        ]
    )
    others = [
        "X-A: 1",
        "Connection: close",
        "X-Unprocessed: 1",
        "X-Backend-Load: q=1,fail_rate=0",
        "X-B : 1",
        "X-D: \x01",
        "Content-Type: a/b",
        "Keep-Alive: timeout=5",
        " folded",
        "X-E:",
    ]
    for i in range(50):
        framing, body = framings[int(chance() * len(framings))]
        headers = [one(others) for _ in range(int(chance() * 3))] + [framing]
        whole = answer(*headers, status=one(statuses), body=body, length=False)
        whole = one(["", "", "", EARLY]) + whole + one(["", "", "", "", "x", CRLF, ONE])
        add(NODE, "mix", {f"{i:02}": whole})


mixtures()
