"""Compares the check of incomplete heads with the HTTP parser."""

import re

import h11
from hypothesis import given, strategies as st

from papayapost_node.http.head_check import HeadCheck

LINES = st.lists(
    st.one_of(
        st.sampled_from(
            [
                b"HTTP/1.1 200 OK",
                b"HTTP/1.0 404",
                b"HTTP/1.1 103 Early Hints",
                b"x: y",
                b"X_1:\t\xff",
                b" folded",
                b"\tfolded",
                b"a" * 300 + b": b",
                b"content-length: 2",
            ]
        ),
        st.binary(max_size=20),
    ),
    max_size=6,
)


def is_accepted_by_parser(head: bytes) -> bool:
    client = h11.Connection(h11.CLIENT)
    request = h11.Request(method="GET", target="/", headers=[("host", "a")])
    client.send(request)
    client.send(h11.EndOfMessage())
    client.receive_data(head)
    try:
        event = client.next_event()
    except h11.RemoteProtocolError:
        return False
    return isinstance(event, h11.Response | h11.InformationalResponse)


@given(
    LINES,
    st.sampled_from([b"\r\n", b"\n"]),
    st.integers(min_value=1, max_value=40),
    st.sampled_from([b"HTTP/1.1 200 OK", b"HTTP/1.0 404", b"HTTP/1.1 103 Hints"]),
)
def test_no_head_that_the_parser_accepts_fails_the_check(
    lines, line_end, piece_bytes, status_line
):
    head = line_end.join([status_line, *lines]) + line_end
    if not is_accepted_by_parser(head + line_end):
        return
    check = HeadCheck()
    blank_line = re.search(rb"\n\r?\n", head)
    if blank_line is not None:
        head = head[: blank_line.start() + 1]
    for start in range(0, len(head), piece_bytes):
        check.feed(head[start : start + piece_bytes])
