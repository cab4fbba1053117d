"""Bytes of another program never end a node or hide the sound ones."""

import pytest

from papayapost.ids import DataCentreId, NodeId, RegionId
from papayapost.roster import RosterEntry
from papayapost.states import BackendServerState
from papayapost.storage import ObjectKind
from papayapost_node.foreign_json import decode_json, prune_json
from papayapost_node.http import HttpAnswer
from papayapost_node.http.health import state_of_answer
from papayapost_node.store.values import VALUE_TYPES, decode_value, encode_value

ENTRY = RosterEntry(
    NodeId("n1"), "10.0.0.1:80", DataCentreId("north-1"), RegionId("north")
)
DEEP = b"[" * 100_000 + b"]" * 100_000
ODD_VALUES = {
    "empty": b"",
    "not UTF-8": b"\xff\xfe",
    "deep array": DEEP,
    "deep object": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "unclosed": b"[" * 100_000,
    "deep unknown field": b'{"x":' + DEEP + b"}",
    "number of 5,000 digits": b'{"born_ms":' + b"9" * 5_000 + b',"instance":"i"}',
    "other type": b'{"node_id":1,"address":2}',
}


@pytest.mark.parametrize("name", ODD_VALUES)
@pytest.mark.parametrize("kind", set(VALUE_TYPES) - {ObjectKind.CONFIG})
def test_an_odd_value_of_any_kind_raises_a_value_error_or_decodes(kind, name):
    try:
        value = decode_value(kind, ODD_VALUES[name])
    except ValueError:
        return
    assert isinstance(value, VALUE_TYPES[kind])


def test_an_unknown_field_of_any_depth_is_ignored():
    entry = encode_value(ENTRY)
    deep = entry[:-1] + b',"x":' + DEEP + b"}"
    assert decode_value(ObjectKind.ENTRY, deep) == ENTRY


@pytest.mark.parametrize(
    "address", ["", "10.0.0.1", "10.0.0.1:99999", "10.0.0.1:-1", "n1:80", "[]:80"]
)
def test_an_entry_whose_address_names_no_socket_is_refused(address):
    odd = encode_value(ENTRY).replace(b"10.0.0.1:80", address.encode())
    with pytest.raises(ValueError, match="is not an IP address with a port"):
        decode_value(ObjectKind.ENTRY, odd)


def test_brackets_and_quotes_in_strings_do_not_count_as_nesting():
    text = rb'{"a": "[[[ \" {{", "b": "\\", "c": [1, {"d": "]"}]}'
    assert prune_json(text) == text


def test_only_the_deep_value_is_replaced():
    text = b'{"a": ' + DEEP + b', "b": [1, 2], "c": ' + DEEP + b"}"
    assert decode_json(text, dict[str, object])["b"] == [1, 2]


def test_a_deeply_nested_health_answer_counts_as_ready():
    answer = HttpAnswer(200, [], b'{"x": ' + DEEP + b"}")
    assert state_of_answer(answer) is BackendServerState.READY
