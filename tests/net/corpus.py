"""The corpus: named client messages, valid, unusual and hostile (`corpus_nodes` has the answers of servers).

The bytes are the same in every run: some are written by hand, others put together by a seeded generator.  The
outcome of each is recorded in `behaviour.json`.  Texts are latin-1, so that one character is one byte.
"""

from __future__ import annotations

import random

HOST, ACCOUNT = "Host: x", "X-Account: acme"
CRLF = "\r\n"
CLIENT_MESSAGES: dict[str, bytes] = {}


def request(
    line: str,
    *headers: str,
    body: str = "",
    id: int = 1,
    base: tuple[str, ...] | None = None,
    end: str = CRLF,
) -> str:
    """Build a request that starts with the required headers, or with `base` instead."""
    lines = (HOST, f"X-Correlation-Id: {id}", ACCOUNT) if base is None else base
    return end.join([line, *lines, *headers, "", body])


def get(
    *headers: str, target: str = "/grid-read/k", version: str = "HTTP/1.1", id: int = 1, body: str = ""
) -> str:
    return request(f"GET {target} {version}", *headers, id=id, body=body)


def post(*headers: str, body: str = "", id: int = 1, version: str = "HTTP/1.1") -> str:
    return request(f"POST /order/k {version}", *headers, body=body, id=id)


def chunked(body: str, id: int = 1, transfer_encoding: str = "Transfer-Encoding: chunked") -> str:
    return post(transfer_encoding, body=body, id=id)


def add(table: dict[str, bytes], group: str, cases: dict[str, str]) -> None:
    for name, text in cases.items():
        assert f"{group}/{name}" not in table, name
        table[f"{group}/{name}"] = text.encode("latin-1")


CONTENT_LENGTH_4, CHUNKED = "Content-Length: 4", "Transfer-Encoding: chunked"
BODY_CHUNK, LAST_CHUNK = "4\r\nbody\r\n", "0\r\n\r\n"
SECOND_REQUEST = get(id=2)
HIDDEN_REQUEST = request("POST /order/hidden HTTP/1.1", "Content-Length: 0", id=66)
GARBAGE = "\x16\x03\x01 garbage\r\n\r\n"

add(
    CLIENT_MESSAGES,
    "valid",
    {
        "get": get(),
        "get with a query": get(target="/grid-read/a%2Fb//..;x?q=%41&&b=%c3"),
        "post": post(CONTENT_LENGTH_4, body="body"),
        "post without a body": post(),
        "post of length 0": post("Content-Length: 0"),
        "chunked": chunked(BODY_CHUNK + LAST_CHUNK),
        "chunked, empty": chunked(LAST_CHUNK),
        "chunked in pieces": chunked("1\r\nb\r\n2\r\nod\r\n1\r\ny\r\n" + LAST_CHUNK),
        "chunked, hex in both cases": chunked("A\r\n0123456789\r\na\r\n0123456789\r\n" + LAST_CHUNK),
        "chunk extension": chunked("4;a=b;c\r\nbody\r\n0;x\r\n\r\n"),
        "chunk extension in quotes": chunked('4;a="b;c"\r\nbody\r\n' + LAST_CHUNK),
        "trailers": chunked(BODY_CHUNK + "0\r\nX-Sum: 1\r\nX-Account: nobody\r\n\r\n"),
        "trailer of a framing header": chunked(BODY_CHUNK + "0\r\nContent-Length: 9\r\n\r\n"),
        "trailer of an endless size": chunked(BODY_CHUNK + "0\r\n" + "X: 12345678\r\n" * 2000 + "\r\n"),
        "zeros in front of a chunk size": chunked("0004\r\nbody\r\n000\r\n\r\n"),
        "healthz": request("GET /healthz HTTP/1.1", base=(HOST,)),
        "healthz by POST": request("POST /healthz HTTP/1.1", CONTENT_LENGTH_4, base=(HOST,), body="body"),
        "healthz with a query": request("GET /healthz?x HTTP/1.1", base=(HOST,)),
        "passed on and not": get(
            "X-One: 1",
            "Accept: */*",
            "Date: today",
            "Server: x",
            "TE: trailers",
            "Keep-Alive: 5",
            "User-Agent: u",
            "Proxy-Authorization: p",
            "X-Backend-Load: q=1",
            "X-Unprocessed: 1",
            "Cookie: a=b",
            "Trailer: X",
        ),
        "hints": get("X-Repeat: 1", "X-Facts: kind=a, expected_us=1500", "X-Time-Left: 0.5"),
        "content type of an order": post("Content-Type: application/json", "Content-Length: 2", body="{}"),
        "content encoding is passed on": post("Content-Encoding: gzip", CONTENT_LENGTH_4, body="zipp"),
        "body of any bytes": post("Content-Length: 256", body="".join(map(chr, range(256)))),
    },
)

add(
    CLIENT_MESSAGES,
    "header",
    {
        "names in any case": request(
            "GET /grid-read/k HTTP/1.1", "hOST: x", "x-correlation-ID: 1", "X-ACCOUNT: acme", base=()
        ),
        "folded line": get("X-A: one", " two"),
        "folded line with a tab": get("X-A: one", "\ttwo"),
        "folded in front of all": request("GET /grid-read/k HTTP/1.1", " X: y"),
        "folded empty value": get("X-A:", " two"),
        "folded line of blanks": get("X-A: one", "  "),
        "white space round a value": get("X-A:  \t one \t "),
        "no space after the colon": get("X-A:one"),
        "empty value": get("X-A:"),
        "value of blanks": get("X-A:   \t"),
        "tab inside": get("X-A: one\ttwo"),
        "duplicate X headers": get("X-A: 1", "X-A: 2", "x-a: 3"),
        "duplicate account": get("X-Account: nobody"),
        "duplicate account, alike": get(ACCOUNT),
        "duplicate id": get("X-Correlation-Id: 2"),
        "duplicate time left": get("X-Time-Left: 0.5", "X-Time-Left: 0.3"),
        "duplicate content type": post("Content-Type: a/b", "Content-Type: a/c"),
        "duplicate user agent": get("User-Agent: a", "User-Agent: b"),
        "duplicate host": get("Host: y"),
        "no host": request("GET /grid-read/k HTTP/1.1", "X-Correlation-Id: 1", ACCOUNT, base=()),
        "no host in 1.0": request("GET /grid-read/k HTTP/1.0", "X-Correlation-Id: 1", ACCOUNT, base=()),
        "empty host": request("GET /grid-read/k HTTP/1.1", "Host:", "X-Correlation-Id: 1", ACCOUNT, base=()),
        "host with a path": request(
            "GET /grid-read/k HTTP/1.1", "Host: x/y", "X-Correlation-Id: 1", ACCOUNT, base=()
        ),
        "bare LF line ends": request("GET /grid-read/k HTTP/1.1", end="\n"),
        "bare LF after one header": get().replace("X-Account: acme\r\n", "X-Account: acme\n"),
        "bare LF after the request line": get().replace("HTTP/1.1\r\n", "HTTP/1.1\n"),
        "bare LF at the end": get()[:-2] + "\n",
        "bare CR line ends": request("GET /grid-read/k HTTP/1.1", end="\r"),
        "bare CR in a value": get("X-A: one\rX-B: two"),
        "CR CR LF": get("X-A: one\r"),
        "NUL in a value": get("X-A: one\0two"),
        "NUL in a name": get("X-\0A: one"),
        "NUL in the account": request(
            "GET /grid-read/k HTTP/1.1", HOST, "X-Correlation-Id: 1", "X-Account: ac\0me", base=()
        ),
        "control byte in a value": get("X-A: one\x01two"),
        "vertical tab in a value": get("X-A: one\x0btwo"),
        "form feed at the end of a value": get("X-A: one\x0c"),
        "DEL in a value": get("X-A: one\x7ftwo"),
        "escape in a name": get("X-\x1bA: one"),
        "high bytes in a value": get("X-A: \xe9\xff\x80"),
        "UTF-8 in a value": get("X-A: \u017dilina".encode().decode("latin-1")),
        "high bytes in a name": get("X-\xe9: one"),
        "high bytes in the account": request(
            "GET /grid-read/k HTTP/1.1", HOST, "X-Correlation-Id: 1", "X-Account: acm\xe9", base=()
        ),
        "high bytes in the id": request(
            "GET /grid-read/k HTTP/1.1", HOST, "X-Correlation-Id: \xe9\xff", ACCOUNT, base=()
        ),
        "missing colon": get("X-A one"),
        "only a name": get("X-A"),
        "no name": get(": one"),
        "space before the colon": get("X-A : one"),
        "tab before the colon": get("X-A\t: one"),
        "space in a name": get("X A: one"),
        "every token character": get("!#$%&'*+-.^_`|~09azAZ: one"),
        "brackets in a name": get("X(A): one"),
        "quotes in a name": get('"X": one'),
        "comma in a name": get("X,A: one"),
        "underscore in a name": get("Content_Length: 4"),
        "CRLF in front": CRLF + get(),
        "many CRLFs in front": CRLF * 20 + get(),
        "LF in front": "\n" + get(),
        "CR in front": "\r" + get(),
        "space in front": " " + get(),
        "NUL in front": "\0" + get(),
        "only CRLFs": CRLF * 3,
        "byte order mark in front": "\xef\xbb\xbf" + get(),
        "sec-websocket-key1": get("Sec-WebSocket-Key1: a"),
        "X-Account in other words": request(
            "GET /grid-read/k HTTP/1.1", HOST, "X-Correlation-Id: 1", "X_Account: acme", base=()
        ),
    },
)

add(
    CLIENT_MESSAGES,
    "line",
    {
        "1.0": get(version="HTTP/1.0"),
        "1.0 keep-alive": get("Connection: keep-alive", version="HTTP/1.0"),
        "1.0 with a body": post(CONTENT_LENGTH_4, version="HTTP/1.0", body="body"),
        "lower case": get(version="http/1.1"),
        "2.0": get(version="HTTP/2.0"),
        "1.2": get(version="HTTP/1.2"),
        "0.9 with a version": get(version="HTTP/0.9"),
        "0.9 with headers": request("GET /grid-read/k"),
        "0.9": "GET /grid-read/k\r\n\r\n",
        "1": get(version="HTTP/1"),
        "1.10": get(version="HTTP/1.10"),
        "11.1": get(version="HTTP/11.1"),
        "other protocol": get(version="RTSP/1.0"),
        "ICE": get(version="ICE/1.0"),
        "other words": get(version="HTP/1.1"),
        "HTTP/2 preface": "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "TLS": "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        "absolute-form": get(target="http://x/grid-read/k"),
        "absolute-form without a path": get(target="http://x"),
        "absolute-form https": get(target="https://x:443/grid-read/k"),
        "absolute-form of another host": get(target="http://other/grid-read/k"),
        "network path": get(target="//x/grid-read/k"),
        "asterisk": request("OPTIONS * HTTP/1.1"),
        "asterisk by GET": get(target="*"),
        "CONNECT": request("CONNECT x:80 HTTP/1.1"),
        "CONNECT and a request behind": request("CONNECT x:80 HTTP/1.1") + SECOND_REQUEST,
        "CONNECT to a path": request("CONNECT /grid-read/k HTTP/1.1"),
        "authority-form": get(target="x:80"),
        "relative": get(target="grid-read/k"),
        "no target": "GET HTTP/1.1\r\nHost: x\r\n\r\n",
        "empty target": "GET  HTTP/1.1\r\nHost: x\r\n\r\n",
        "tab as separator": get().replace("GET ", "GET\t", 1),
        "tab before the version": get().replace(" HTTP/", "\tHTTP/", 1),
        "two spaces after the method": get().replace("GET ", "GET  ", 1),
        "two spaces before the version": get().replace(" HTTP/", "  HTTP/", 1),
        "space at the end": get(version="HTTP/1.1 "),
        "space in the target": get(target="/grid-read/a b"),
        "fragment": get(target="/grid-read/k#x"),
        "fragment alone": get(target="#x"),
        "query mark alone": get(target="/grid-read/k?"),
        "two query marks": get(target="/grid-read/k??"),
        "query mark inside": get(target="/grid-read/k?a?b"),
        "query without a path": get(target="?x"),
        "non-ASCII": get(target="/grid-read/\u017d".encode().decode("latin-1")),
        "high bytes": get(target="/grid-read/\xff"),
        "control byte in the target": get(target="/grid-read/\x01"),
        "NUL in the target": get(target="/grid-read/\0"),
        "DEL in the target": get(target="/grid-read/\x7f"),
        "tab in the target": get(target="/grid-read/a\tb"),
        "form feed in the target": get(target="/grid-read/a\fb"),
        "quotes and brackets": get(target="/grid-read/\"<>\\^`{|}'[]"),
        "percent signs that are none": get(target="/grid-read/%zz%"),
        "dots": get(target="/grid-read/../order/k"),
        "dot segments": get(target="/./grid-read/k"),
        "empty first part": get(target="//grid-read/k"),
        "root": get(target="/"),
        "no key": get(target="/grid-read"),
        "empty key": get(target="/grid-read/"),
        "key of many parts": get(target="/grid-read/a/b/c"),
        "semicolon": get(target="/grid-read;a/k"),
        "escaped class": get(target="/grid%2Dread/k"),
        "class in capitals": get(target="/GRID-READ/k"),
        "query right behind the class": get(target="/grid-read?x"),
        "target of 8,000": get(target="/grid-read/" + "k" * 7989),
        "target of 8,190": get(target="/grid-read/" + "k" * 8179),
        "target of 8,191": get(target="/grid-read/" + "k" * 8180),
        "target of 9,000": get(target="/grid-read/" + "k" * 8989),
        "target of 70,000": get(target="/grid-read/" + "k" * 69_989),
        "endless method": "G" * 20_000,
        "lower-case method": request("get /grid-read/k HTTP/1.1"),
        "unknown method": request("FETCH /grid-read/k HTTP/1.1"),
        "QUERY": request("QUERY /grid-read/k HTTP/1.1"),
        "method with a token character": request("G+T /grid-read/k HTTP/1.1"),
        "method of brackets": request("G(T /grid-read/k HTTP/1.1"),
        "nothing": "",
        "nonsense": "nonsense\r\n\r\n",
        "an answer": "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none",
    },
)

CONTENT_LENGTHS = {
    "missing": None,
    "empty": "",
    "negative": "-4",
    "minus 0": "-0",
    "plus": "+4",
    "hex": "0x4",
    "zeros": "004",
    "huge": "9" * 19,
    "over 64 bits": "9" * 30,
    "2^64": str(2**64),
    "2^64 + 4": str(2**64 + 4),
    "2^32 + 4": str(2**32 + 4),
    "list": "4, 4",
    "list without a space": "4,4",
    "list of two": "4, 5",
    "spaces": "  4  ",
    "tab": "4\t",
    "space inside": "4 4",
    "point": "4.0",
    "exponent": "4e0",
    "underscore": "0_4",
    "word": "many",
    "Arabic digit": "\u0664",
    "letter behind": "4b",
    "semicolon": "4;",
    "comma behind": "4,",
    "NUL behind": "4\0",
    "vertical tab": "4\x0b",
    "quotes": '"4"',
}
for name, length in CONTENT_LENGTHS.items():
    raw = [] if length is None else ["Content-Length: " + length.encode().decode("latin-1")]
    add(CLIENT_MESSAGES, "length", {name: post(*raw, body="body") + SECOND_REQUEST})
add(
    CLIENT_MESSAGES,
    "length",
    {
        "two alike": post(CONTENT_LENGTH_4, CONTENT_LENGTH_4, body="body") + SECOND_REQUEST,
        "two different": post(CONTENT_LENGTH_4, "Content-Length: 5", body="body") + SECOND_REQUEST,
        "two, one empty": post("Content-Length:", CONTENT_LENGTH_4, body="body"),
        "folded": post("Content-Length:", " 4", body="body"),
        "of a GET": get(CONTENT_LENGTH_4, body="body"),
        "0 of a GET": get("Content-Length: 0"),
        "of a DELETE": request("DELETE /order/k HTTP/1.1", CONTENT_LENGTH_4, body="body") + SECOND_REQUEST,
        "of a HEAD": request("HEAD /order/k HTTP/1.1", CONTENT_LENGTH_4, body="body") + SECOND_REQUEST,
        "short by one": post("Content-Length: 5", body="body"),
        "behind a space": post("Content-Length : 4", body="body"),
        "65,536": post("Content-Length: 65536", body="x" * 65_536),
        "65,537": post("Content-Length: 65537", body="x" * 65_537),
        "65,537, announced": post("Content-Length: 65537"),
        "65,537, and a request behind": post("Content-Length: 65537", body="x" * 65_537) + SECOND_REQUEST,
        "200,000": post("Content-Length: 200000", body="x" * 200_000),
        "65,537 by GET": get("Content-Length: 65537", body="x" * 65_537),
        "too large for a class that is none": request(
            "POST /nothing HTTP/1.1", "Content-Length: 70000", body="x" * 70_000
        ),
    },
)

TRANSFER_CODINGS = {
    "chunked": "chunked",
    "Chunked": "Chunked",
    "CHUNKED": "CHUNKED",
    "identity": "identity",
    "gzip": "gzip",
    "gzip, chunked": "gzip, chunked",
    "chunked, identity": "chunked, identity",
    "identity, chunked": "identity, chunked",
    "chunked, gzip": "chunked, gzip",
    "chunked, chunked": "chunked, chunked",
    "xchunked": "xchunked",
    "chunkedx": "chunkedx",
    "chunke": "chunke",
    "empty": "",
    "comma in front": ", chunked",
    "comma behind": "chunked,",
    "parameter": "chunked;q=1",
    "quotes": '"chunked"',
    "tab in front": "\tchunked",
    "tab behind": "chunked\t",
    "spaces behind": "chunked  ",
    "vertical tab in front": "\x0bchunked",
    "vertical tab behind": "chunked\x0b",
    "form feed": "chunked\x0c",
    "NUL behind": "chunked\0",
    "folded": "\r\n chunked",
    "folded with a tab": "\r\n\tchunked",
    "folded behind": "chunked\r\n ",
    "folded list": "chunked,\r\n identity",
    "space inside": "chun ked",
    "high byte": "chunked\xa0",
    "gzip,chunked": "gzip,chunked",
    "tab in the list": "gzip,\tchunked",
    "CR": "\rchunked",
    "LF": "\nchunked",
    "none": "none",
    "deflate, gzip, chunked": "deflate, gzip, chunked",
}
for name, coding in TRANSFER_CODINGS.items():
    add(
        CLIENT_MESSAGES,
        "coding",
        {
            name: chunked(BODY_CHUNK + LAST_CHUNK, transfer_encoding="Transfer-Encoding: " + coding)
            + SECOND_REQUEST,
            name + ", length in front": post(
                "Content-Length: 14", "Transfer-Encoding: " + coding, body=BODY_CHUNK + LAST_CHUNK
            )
            + SECOND_REQUEST,
        },
    )
add(
    CLIENT_MESSAGES,
    "coding",
    {
        "length behind": post(CHUNKED, CONTENT_LENGTH_4, body=BODY_CHUNK + LAST_CHUNK) + SECOND_REQUEST,
        "two headers": post(CHUNKED, CHUNKED, body=BODY_CHUNK + LAST_CHUNK) + SECOND_REQUEST,
        "two headers, identity first": post(
            "Transfer-Encoding: identity", CHUNKED, body=BODY_CHUNK + LAST_CHUNK
        )
        + SECOND_REQUEST,
        "two headers, identity last": post(
            CHUNKED, "Transfer-Encoding: identity", body=BODY_CHUNK + LAST_CHUNK
        )
        + SECOND_REQUEST,
        "two headers, gzip first": post("Transfer-Encoding: gzip", CHUNKED, body=BODY_CHUNK + LAST_CHUNK)
        + SECOND_REQUEST,
        "in 1.0": post(CHUNKED, version="HTTP/1.0", body=BODY_CHUNK + LAST_CHUNK) + SECOND_REQUEST,
        "in 1.0, keep-alive": post(
            CHUNKED, "Connection: keep-alive", version="HTTP/1.0", body=BODY_CHUNK + LAST_CHUNK
        )
        + SECOND_REQUEST,
        "in 1.0 with a length": post(CHUNKED, CONTENT_LENGTH_4, version="HTTP/1.0", body="body")
        + SECOND_REQUEST,
        "of a GET": get(CHUNKED, body=BODY_CHUNK + LAST_CHUNK) + SECOND_REQUEST,
        "of a GET, empty": get(CHUNKED, body=LAST_CHUNK) + SECOND_REQUEST,
        "of a HEAD": request("HEAD /order/k HTTP/1.1", CHUNKED, body=BODY_CHUNK + LAST_CHUNK)
        + SECOND_REQUEST,
        "behind a space": post("Transfer-Encoding : chunked", body=BODY_CHUNK + LAST_CHUNK),
        "behind a tab": post("Transfer-Encoding\t: chunked", body=BODY_CHUNK + LAST_CHUNK),
        "underscore": post("Transfer_Encoding: chunked", body=BODY_CHUNK + LAST_CHUNK),
        "capitals": post("TRANSFER-ENCODING: chunked", body=BODY_CHUNK + LAST_CHUNK) + SECOND_REQUEST,
        "hidden in a bare CR": post("X: y\rTransfer-Encoding: chunked", body=BODY_CHUNK + LAST_CHUNK),
        "hidden in a bare LF": post("X: y\nTransfer-Encoding: chunked", body=BODY_CHUNK + LAST_CHUNK),
        "named by Connection": post(CHUNKED, "Connection: Transfer-Encoding", body=BODY_CHUNK + LAST_CHUNK)
        + SECOND_REQUEST,
        "length named by Connection": post(CONTENT_LENGTH_4, "Connection: Content-Length", body="body")
        + SECOND_REQUEST,
    },
)

CHUNKED_BODIES = {
    "negative size": "-4\r\nbody\r\n" + LAST_CHUNK,
    "plus": "+4\r\nbody\r\n" + LAST_CHUNK,
    "0x": "0x4\r\nbody\r\n" + LAST_CHUNK,
    "no size": "\r\nbody\r\n" + LAST_CHUNK,
    "no hex": "z\r\nbody\r\n" + LAST_CHUNK,
    "hex and more": "4z\r\nbody\r\n" + LAST_CHUNK,
    "overflow": "F" * 17 + "\r\nbody\r\n" + LAST_CHUNK,
    "64 bits": "F" * 16 + "\r\nbody\r\n" + LAST_CHUNK,
    "2^64 + 4": "10000000000000004\r\nbody\r\n" + LAST_CHUNK,
    "2^32 + 4": "100000004\r\nbody\r\n" + LAST_CHUNK,
    "many zeros": "0" * 40 + "4\r\nbody\r\n" + LAST_CHUNK,
    "endless zeros": "0" * 40_000,
    "space in front": " 4\r\nbody\r\n" + LAST_CHUNK,
    "space behind": "4 \r\nbody\r\n" + LAST_CHUNK,
    "tab behind": "4\t\r\nbody\r\n" + LAST_CHUNK,
    "space before an extension": "4 ;a\r\nbody\r\n" + LAST_CHUNK,
    "LF behind the size": "4\nbody\r\n" + LAST_CHUNK,
    "LF behind the data": "4\r\nbody\n" + LAST_CHUNK,
    "LF only": "4\nbody\n0\n\n",
    "CR only": "4\rbody\r0\r\r",
    "no CRLF behind the data": "4\r\nbody" + LAST_CHUNK,
    "data too long": "4\r\nbodyx\r\n" + LAST_CHUNK,
    "data too short": "4\r\nbod\r\n" + LAST_CHUNK,
    "LF at the end": BODY_CHUNK + "0\r\n\n",
    "LF behind the last size": BODY_CHUNK + "0\n\r\n",
    "last chunk missing": BODY_CHUNK,
    "last CRLF missing": BODY_CHUNK + "0\r\n",
    "last chunk cut": BODY_CHUNK + "0\r",
    "noise behind the last size": BODY_CHUNK + "0x\r\n\r\n",
    "extension with LF": "4;a\nb\r\nbody\r\n" + LAST_CHUNK,
    "extension with CR": "4;a\rb\r\nbody\r\n" + LAST_CHUNK,
    "extension with NUL": "4;a\0\r\nbody\r\n" + LAST_CHUNK,
    "extension of control bytes": "4;\x01\r\nbody\r\n" + LAST_CHUNK,
    "extension with high bytes": "4;\xe9\r\nbody\r\n" + LAST_CHUNK,
    "extension without a name": "4;\r\nbody\r\n" + LAST_CHUNK,
    "extension of 10,000": "4;" + "a" * 10_000 + "\r\nbody\r\n" + LAST_CHUNK,
    "extension of 100,000": "4;" + "a" * 100_000 + "\r\nbody\r\n" + LAST_CHUNK,
    "extensions at 2,000 chunks": "1;aaaaaaaaaa\r\nx\r\n" * 2_000 + LAST_CHUNK,
    "quotes that stay open": '4;a="b\r\nbody\r\n' + LAST_CHUNK,
    "1,000 chunks of 1": "1\r\nx\r\n" * 1_000 + LAST_CHUNK,
    "65,536 in chunks": "8000\r\n" + "x" * 32_768 + "\r\n8000\r\n" + "x" * 32_768 + "\r\n" + LAST_CHUNK,
    "65,537 in chunks": "8000\r\n" + "x" * 32_768 + "\r\n8001\r\n" + "x" * 32_769 + "\r\n" + LAST_CHUNK,
    "65,537 in one chunk": "10001\r\n" + "x" * 65_537 + "\r\n" + LAST_CHUNK,
    "200,000 in chunks": ("1000\r\n" + "x" * 4_096 + "\r\n") * 49 + LAST_CHUNK,
    "trailer without a colon": BODY_CHUNK + "0\r\nX\r\n\r\n",
    "trailer folded": BODY_CHUNK + "0\r\nX: a\r\n b\r\n\r\n",
    "trailer with a space before the colon": BODY_CHUNK + "0\r\nX : a\r\n\r\n",
    "trailer with LF": BODY_CHUNK + "0\r\nX: a\n\r\n",
    "trailer with NUL": BODY_CHUNK + "0\r\nX: a\0\r\n\r\n",
    "trailer of Transfer-Encoding": BODY_CHUNK + "0\r\nTransfer-Encoding: chunked\r\n\r\n",
    "300 trailers": BODY_CHUNK + "0\r\n" + "X: 1\r\n" * 300 + "\r\n",
    "a broken one after a good one": BODY_CHUNK + "zz\r\n",
    "a request in place of a chunk": BODY_CHUNK + get(id=3),
}
add(CLIENT_MESSAGES, "chunk", {name: chunked(body) + SECOND_REQUEST for name, body in CHUNKED_BODIES.items()})

add(
    CLIENT_MESSAGES,
    "smuggling",
    {
        "CL.TE": post("Content-Length: 5", CHUNKED, body=LAST_CHUNK + HIDDEN_REQUEST),
        "CL.TE, both whole": post(
            f"Content-Length: {len(LAST_CHUNK + HIDDEN_REQUEST)}", CHUNKED, body=LAST_CHUNK + HIDDEN_REQUEST
        ),
        "TE.CL": post(
            CHUNKED, CONTENT_LENGTH_4, body=f"{len(HIDDEN_REQUEST):x}\r\n{HIDDEN_REQUEST}\r\n" + LAST_CHUNK
        ),
        "TE.TE, unknown last": post(
            CHUNKED, "Transfer-Encoding: x", CONTENT_LENGTH_4, body=LAST_CHUNK + HIDDEN_REQUEST
        ),
        "TE.TE, unknown first": post(
            "Transfer-Encoding: x", CHUNKED, CONTENT_LENGTH_4, body=LAST_CHUNK + HIDDEN_REQUEST
        ),
        "TE.TE, space": post("Transfer-Encoding : chunked", CHUNKED, body=LAST_CHUNK + HIDDEN_REQUEST),
        "TE.0": post(CHUNKED, body=HIDDEN_REQUEST),
        "CL.0": post(f"Content-Length: {len(HIDDEN_REQUEST)}", body=HIDDEN_REQUEST) + SECOND_REQUEST,
        "0.CL by GET": get(f"Content-Length: {len(HIDDEN_REQUEST)}", body=HIDDEN_REQUEST) + SECOND_REQUEST,
        "no length at all": post(body=HIDDEN_REQUEST),
        "GET with a hidden one behind": get(body=HIDDEN_REQUEST),
        "hidden in a chunk": chunked(f"{len(HIDDEN_REQUEST):x}\r\n{HIDDEN_REQUEST}\r\n" + LAST_CHUNK)
        + SECOND_REQUEST,
        "hidden in a chunk extension": chunked(f"4;{HIDDEN_REQUEST}\r\nbody\r\n" + LAST_CHUNK),
        "hidden in an extension, LF": chunked(
            "2;\nxx\r\n4d\r\n0\r\n\r\n" + HIDDEN_REQUEST + "\r\n" + LAST_CHUNK
        ),
        "hidden in trailers": chunked(BODY_CHUNK + "0\r\n" + HIDDEN_REQUEST),
        "hidden behind a chunk of wrong size": chunked("3\r\nbody\r\n0\r\n\r\n" + HIDDEN_REQUEST),
        "hidden in a folded value": get("X: a", " GET /grid-read/hidden HTTP/1.1", " Host: x"),
        "hidden in a header by CR": get("X: a\r\rGET /grid-read/hidden HTTP/1.1\r" + HOST),
        "hidden in a header by LF": get("X: a\n\nGET /grid-read/hidden HTTP/1.1\n" + HOST),
        "hidden in the target": "GET /grid-read/k HTTP/1.1\nX: y HTTP/1.1\r\nHost: x\r\n\r\n",
        "two lengths": post(
            "Content-Length: 0", f"Content-Length: {len(HIDDEN_REQUEST)}", body=HIDDEN_REQUEST
        ),
        "length in a list": post(f"Content-Length: 0, {len(HIDDEN_REQUEST)}", body=HIDDEN_REQUEST),
        "length behind NUL": post("Content-Length: 0\0", body=HIDDEN_REQUEST),
        "Expect and a hidden one": post(
            "Expect: 100-continue", f"Content-Length: {len(HIDDEN_REQUEST)}", body=HIDDEN_REQUEST
        )
        + SECOND_REQUEST,
        "Expect, obfuscated": post(
            "Expect: y 100-continue", f"Content-Length: {len(HIDDEN_REQUEST)}", body=HIDDEN_REQUEST
        )
        + SECOND_REQUEST,
        "method override": post("X-HTTP-Method-Override: GET", CONTENT_LENGTH_4, body="body")
        + SECOND_REQUEST,
        "Upgrade and a hidden one": post(
            "Connection: Upgrade",
            "Upgrade: websocket",
            f"Content-Length: {len(HIDDEN_REQUEST)}",
            body=HIDDEN_REQUEST,
        )
        + SECOND_REQUEST,
        "h2c and a hidden one": post(
            "Connection: Upgrade",
            "Upgrade: h2c",
            f"Content-Length: {len(HIDDEN_REQUEST)}",
            body=HIDDEN_REQUEST,
        )
        + SECOND_REQUEST,
        "Upgrade, unknown coding": post(
            "Connection: Upgrade", "Upgrade: websocket", "Transfer-Encoding: xchunked", body=HIDDEN_REQUEST
        ),
        "h2c, unknown coding": post(
            "Connection: Upgrade", "Upgrade: h2c", "Transfer-Encoding: xchunked", body=HIDDEN_REQUEST
        ),
        "h2c, chunked not last": post(
            "Connection: Upgrade", "Upgrade: h2c", "Transfer-Encoding: chunked, x", body=HIDDEN_REQUEST
        ),
        "rejected with a hidden one": request(
            "POST /nothing HTTP/1.1", f"Content-Length: {len(HIDDEN_REQUEST)}", body=HIDDEN_REQUEST
        )
        + SECOND_REQUEST,
        "rejected with a hidden chunk": request(
            "POST /nothing HTTP/1.1",
            CHUNKED,
            body=f"{len(HIDDEN_REQUEST):x}\r\n{HIDDEN_REQUEST}\r\n" + LAST_CHUNK,
        )
        + SECOND_REQUEST,
        "too large with a hidden one": post("Content-Length: 70000", body=HIDDEN_REQUEST * 900)
        + SECOND_REQUEST,
    },
)

# A trailer must not act as a header of its own message or of the next.
for trailer in (
    "X-T: 1",
    "X-Account: nobody",
    "X-Correlation-Id: 9",
    "X-Time-Left: 0.1",
    "X-Repeat: 1",
    "Host: y",
    "Expect: 100-continue",
    "Connection: close",
    "Connection: X-Account",
    "Upgrade: websocket",
    "Transfer-Encoding: chunked",
    "Content-Length: 4",
    "X-T: 1\r\nX-U: 2",
    "X-T:",
):
    ended = f"{BODY_CHUNK}0\r\n{trailer}\r\n\r\n"
    add(CLIENT_MESSAGES, "trailer", {trailer.replace(CRLF, ", "): chunked(ended) + SECOND_REQUEST})
    add(
        CLIENT_MESSAGES,
        "trailer",
        {
            trailer.replace(CRLF, ", ") + ", in front of an order": chunked(ended)
            + post(CONTENT_LENGTH_4, body="body", id=2)
        },
    )

add(
    CLIENT_MESSAGES,
    "size",
    {
        "head of 16,384": get(*["X-Fill: " + "x" * 990] * 16, "X-Rest: " + "x" * 308),
        "head of 17,000": get(*["X-Fill: " + "x" * 990] * 17),
        "head of 100,000": get(*["X-Fill: " + "x" * 990] * 100),
        "header line of 8,000": get("X-A: " + "x" * 7_995),
        "header value of 8,190 with its name": get("X-A: " + "x" * 8_187),
        "header value of 8,191 with its name": get("X-A: " + "x" * 8_188),
        "header line of 9,000": get("X-A: " + "x" * 8_995),
        "endless header": get("X-A: " + "x" * 200_000),
        "endless header name": get("X" * 20_000 + ": 1"),
        "blanks without end": get("X-A:" + " " * 20_000 + "1"),
        "blanks behind a value": get("X-A: 1" + " " * 20_000),
        "many headers": get(*[f"X-{i}: {i}" for i in range(120)]),
        "128 headers": get(*[f"X-{i}: {i}" for i in range(125)]),
        "129 headers": get(*[f"X-{i}: {i}" for i in range(126)]),
        "600 headers": get(*[f"X-{i}: {i}" for i in range(600)]),
        "1,000 CRLFs in front": CRLF * 1_000 + get(),
        "100 requests": "".join(get(id=i) for i in range(1, 101)),
        "100 orders": "".join(post(CONTENT_LENGTH_4, body="body", id=i) for i in range(1, 101)),
    },
)

add(
    CLIENT_MESSAGES,
    "expect",
    {
        "100-continue": post("Expect: 100-continue", CONTENT_LENGTH_4),
        "100-continue, and the body": post("Expect: 100-continue", CONTENT_LENGTH_4, body="body"),
        "in capitals": post("Expect: 100-CONTINUE", CONTENT_LENGTH_4, body="body"),
        "chunked": post("Expect: 100-continue", CHUNKED),
        "chunked, and the body": post("Expect: 100-continue", CHUNKED, body=BODY_CHUNK + LAST_CHUNK),
        "without a body": post("Expect: 100-continue"),
        "of a GET": get("Expect: 100-continue"),
        "in 1.0": post("Expect: 100-continue", CONTENT_LENGTH_4, version="HTTP/1.0", body="body"),
        "of too large a body": post("Expect: 100-continue", "Content-Length: 70000"),
        "of a class that is none": request(
            "POST /nothing HTTP/1.1", "Expect: 100-continue", CONTENT_LENGTH_4
        ),
        "of a wrong method": request("GET /order/k HTTP/1.1", "Expect: 100-continue", CONTENT_LENGTH_4),
        "something else": post("Expect: 200-ok", CONTENT_LENGTH_4, body="body"),
        "a list": post("Expect: 100-continue, x", CONTENT_LENGTH_4, body="body"),
        "twice": post("Expect: 100-continue", "Expect: 100-continue", CONTENT_LENGTH_4, body="body"),
        "empty": post("Expect:", CONTENT_LENGTH_4, body="body"),
        "and a second request": post("Expect: 100-continue", CONTENT_LENGTH_4, body="body") + SECOND_REQUEST,
        "behind another request": get() + post("Expect: 100-continue", CONTENT_LENGTH_4, id=2),
    },
)

UPGRADE_HEADERS = {
    "websocket": (
        "Connection: Upgrade",
        "Upgrade: websocket",
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
        "Sec-WebSocket-Version: 13",
    ),
    "websocket in capitals": ("Connection: UPGRADE", "Upgrade: WebSocket"),
    "h2c": ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABkAAQAAP__"),
    "two at once": ("Connection: upgrade", "Upgrade: websocket, h2c"),
    "without Connection": ("Upgrade: websocket",),
    "named by Connection only": ("Connection: Upgrade",),
    "empty": ("Connection: Upgrade", "Upgrade:"),
    "keep-alive too": ("Connection: keep-alive, Upgrade", "Upgrade: websocket"),
}
for name, headers in UPGRADE_HEADERS.items():
    add(
        CLIENT_MESSAGES,
        "upgrade",
        {
            name: get(*headers),
            name + ", a request behind": get(*headers) + SECOND_REQUEST,
            name + ", garbage behind": get(*headers) + "\x81\x05hello",
            name + ", of an order": post(*headers, CONTENT_LENGTH_4, body="body") + SECOND_REQUEST,
            name + ", of a chunked order": post(*headers, CHUNKED, body=BODY_CHUNK + LAST_CHUNK)
            + SECOND_REQUEST,
        },
    )

CONNECTION_VALUES = {
    "close": "close",
    "Close": "Close",
    "keep-alive": "keep-alive",
    "close, keep-alive": "close, keep-alive",
    "keep-alive, close": "keep-alive, close",
    "named": "X-One",
    "two named": "X-One, x-two",
    "close and named": "close, X-One",
    "account named": "X-Account",
    "id named": "X-Correlation-Id",
    "empty": "",
    "commas": ",,",
    "host named": "Host",
    "no word": "cl ose",
    "xclose": "xclose",
    "close behind a tab": "\tclose",
    "closex": "closex",
    "close;": "close;",
}
for name, value in CONNECTION_VALUES.items():
    add(
        CLIENT_MESSAGES,
        "connection",
        {name: get(f"Connection: {value}", "X-One: 1", "X-Two: 2") + SECOND_REQUEST},
    )
add(
    CLIENT_MESSAGES,
    "connection",
    {
        "close in two headers": get("Connection: X-One", "Connection: close", "X-One: 1") + SECOND_REQUEST,
        "named in two headers": get("Connection: X-One", "Connection: X-Two", "X-One: 1", "X-Two: 2")
        + SECOND_REQUEST,
        "keep-alive in two headers": get("Connection: close", "Connection: keep-alive") + SECOND_REQUEST,
        "close of an order": post("Connection: close", CONTENT_LENGTH_4, body="body") + SECOND_REQUEST,
        "close in 1.0": get("Connection: close", version="HTTP/1.0") + SECOND_REQUEST,
        "keep-alive in 1.0": get("Connection: keep-alive", version="HTTP/1.0") + SECOND_REQUEST,
        "1.0 and a second": get(version="HTTP/1.0") + SECOND_REQUEST,
        "Proxy-Connection": get("Proxy-Connection: close") + SECOND_REQUEST,
        "close of what is rejected": request("GET /nothing HTTP/1.1", "Connection: close") + SECOND_REQUEST,
        "rejected and a second": request("GET /nothing HTTP/1.1") + SECOND_REQUEST,
        "rejected in 1.0": request("GET /nothing HTTP/1.0") + SECOND_REQUEST,
        "wrong body of a GET and a second": get(CONTENT_LENGTH_4, body="body") + SECOND_REQUEST,
    },
)

PAIR_PARTS = {
    "get": get,
    "post": lambda id: post(CONTENT_LENGTH_4, body="body", id=id),
    "chunked": lambda id: chunked(BODY_CHUNK + LAST_CHUNK, id=id),
    "garbage": lambda id: GARBAGE,
    "rejected": lambda id: request("GET /nothing HTTP/1.1", id=id),
    "two lengths": lambda id: post(CONTENT_LENGTH_4, CHUNKED, body=BODY_CHUNK + LAST_CHUNK, id=id),
    "half": lambda id: get(id=id)[:30],
    "no id": lambda id: request("GET /grid-read/k HTTP/1.1", HOST, ACCOUNT, base=()),
    "bad chunk": lambda id: chunked("zz\r\n", id=id),
    "CRLFs": lambda id: CRLF * 2,
}
for first, make_first in PAIR_PARTS.items():
    for second, make_second in PAIR_PARTS.items():
        add(CLIENT_MESSAGES, "pair", {f"{first} + {second}": make_first(id=1) + make_second(id=2)})

add(
    CLIENT_MESSAGES,
    "fault",
    {
        "unknown class": get(target="/other/k"),
        "GET of an order": request("GET /order/k HTTP/1.1"),
        "POST of a read": request("POST /grid-read/k HTTP/1.1"),
        "POST of a read, with a body": request("POST /grid-read/k HTTP/1.1", CONTENT_LENGTH_4, body="body")
        + SECOND_REQUEST,
        "DELETE": request("DELETE /order/k HTTP/1.1"),
        "HEAD": request("HEAD /grid-read/k HTTP/1.1"),
        "HEAD and a second": request("HEAD /grid-read/k HTTP/1.1") + SECOND_REQUEST,
        "PUT": request("PUT /order/k HTTP/1.1", CONTENT_LENGTH_4, body="body") + SECOND_REQUEST,
        "OPTIONS": request("OPTIONS /order/k HTTP/1.1"),
        "no id": request("GET /grid-read/k HTTP/1.1", HOST, ACCOUNT, base=()),
        "empty id": request("GET /grid-read/k HTTP/1.1", HOST, ACCOUNT, "X-Correlation-Id:", base=()),
        "no account": request("GET /grid-read/k HTTP/1.1", HOST, "X-Correlation-Id: 1", base=()),
        "no such account": request(
            "GET /grid-read/k HTTP/1.1", HOST, "X-Correlation-Id: 1", "X-Account: nobody", base=()
        ),
        "account in capitals": request(
            "GET /grid-read/k HTTP/1.1", HOST, "X-Correlation-Id: 1", "X-Account: ACME", base=()
        ),
        "the same id again": get() + get(),
        "a GET with a body": get(CONTENT_LENGTH_4, body="body"),
        "a GET with a chunked body": get(CHUNKED, body=BODY_CHUNK + LAST_CHUNK),
        "id of 5,000": request(
            "GET /grid-read/k HTTP/1.1", HOST, "X-Correlation-Id: " + "7" * 5_000, ACCOUNT, base=()
        ),
        "id with spaces": request(
            "GET /grid-read/k HTTP/1.1", HOST, "X-Correlation-Id: a b", ACCOUNT, base=()
        ),
        "all wrong at once": request("DELETE /nothing?  HTTP/1.1", "X-Time-Left: x", base=(HOST,)),
        "wrong method and no id": request("POST /grid-read/k HTTP/1.1", base=(HOST,)),
        "query mark alone and wrong method": request("POST /grid-read/k? HTTP/1.1", base=(HOST,)),
    },
)
TIMES = "1 0.5 0.005 0 -1 nan inf -inf 1e-3 1e3 3600 3601 1e400 soon 1,0 1s 0x1 1_0 +1 .5 5. 1e --1".split()
for value in (*TIMES, "", " 1 ", "1 2", "\u0661", "1\xa0", "1" * 400):
    named = value.encode("unicode_escape").decode() if len(value) < 50 else "400 digits"
    add(CLIENT_MESSAGES, "time left", {repr(named): get("X-Time-Left: " + value.encode().decode("latin-1"))})
FACTS = ["=1500", "=", "=-5", "=nan", "=1e400", " = 9 ", "=7,expected_us=8", "", "=1_000", "=1e18", "=1.9"]
for facts in (*("expected_us" + value for value in FACTS), "a=1,expected_us=7", "EXPECTED_US=5", "=,="):
    add(CLIENT_MESSAGES, "facts", {facts: get("X-Facts: " + facts)})
for value in ("1", "0", "", "true", "01", "1, 1"):
    add(CLIENT_MESSAGES, "repeat", {repr(value): get(f"X-Repeat: {value}")})

GET, POST, CHUNKED_POST = get(), post(CONTENT_LENGTH_4, body="body"), chunked(BODY_CHUNK + LAST_CHUNK)
for group, whole in (("get", GET), ("post", POST), ("chunked", CHUNKED_POST)):
    head = whole.index("\r\n\r\n")
    cuts = {
        "in the method": 2,
        "in the target": 9,
        "in the version": whole.index("HTTP/") + 6,
        "behind the line": whole.index("\r\n") + 2,
        "in a name": whole.index("X-Acc") + 3,
        "in a value": whole.index("acme") + 2,
        "before the last LF": head + 3,
        "behind a CR": head + 1,
    }
    if group != "get":
        cuts |= {"behind the head": head + 4, "in the body": head + 7, "before the last byte": len(whole) - 1}
    add(CLIENT_MESSAGES, "cut", {f"{group}, {name}": whole[:at] for name, at in cuts.items()})


# Generated messages


def add_mixtures() -> None:
    """Add messages of parts chosen by a seeded generator; most parts are valid."""
    # Of all methods only `random()` gives the same numbers in every version of Python.
    random_number = random.Random(9112).random

    def pick(parts: list[str]) -> str:
        return parts[int(random_number() * len(parts))]

    lines = (
        ["GET /grid-read/k HTTP/1.1"] * 6
        + ["POST /order/k HTTP/1.1"] * 10
        + [
            "GET /grid-read/k HTTP/1.0",
            "POST /order/k?a=1 HTTP/1.1",
            "GET /order/k HTTP/1.1",
            "POST  /order/k HTTP/1.1",
        ]
    )
    framings = (
        [("Content-Length: 4", "body")] * 4
        + [(CHUNKED, BODY_CHUNK + LAST_CHUNK)] * 4
        + [("X: y", "")] * 3
        + [
            (CHUNKED + CRLF + CONTENT_LENGTH_4, BODY_CHUNK + LAST_CHUNK),
            ("Transfer-Encoding: gzip, chunked", BODY_CHUNK + LAST_CHUNK),
            (CHUNKED, "5\r\nbody\r\n" + LAST_CHUNK),
            ("Content-Length: 3", "body"),
            ("Transfer-Encoding: Chunked", BODY_CHUNK + LAST_CHUNK),
        ]
    )
    others = [
        "X-A: 1",
        "X-A: 2",
        "Connection: close",
        "Connection: X-A",
        "Expect: 100-continue",
        "X-Repeat: 1",
        "Accept: */*",
        "X-B:",
        "Upgrade: h2c",
        "Connection: keep-alive",
        "Content-Type: a/b",
        "X-Time-Left: 0.7",
        "X-C : 1",
        "X-D: \x01",
        "X-E: \xe9",
        " folded",
    ]
    for i in range(60):
        text = ""
        for id in range(1, 2 + int(random_number() * 3)):
            framing, body = framings[int(random_number() * len(framings))]
            headers = [pick(others) for _ in range(int(random_number() * 3))] + [framing]
            text += request(pick(lines), *headers, body=body, id=id)
        add(CLIENT_MESSAGES, "mix", {f"{i:02}": text})


add_mixtures()
