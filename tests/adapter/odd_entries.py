"""Entries of another writer that no reader can use."""

import json

import standin

NAME = "another-writer"
INFO = ("specification", "nodeInfo")
DEPTH = 3000
# Where a valid server's entry is changed, and the bytes put there.
UNREADABLE = {
    "nested_array": (INFO, b"[" * DEPTH + b"]" * DEPTH),
    "nested_object": (INFO, b'{"a":' * DEPTH + b"1" + b"}" * DEPTH),
    "nested_elsewhere": ((*INFO, "more"), b'{"a":[' * DEPTH + b"]}" * DEPTH),
    "very_nested": (INFO, b"[" * 200_000 + b"]" * 200_000),
    "long_number": ((*INFO, "version"), b"7" * 5000),
    "long_unknown_number": ((*INFO, "more"), b"7" * 5000),
    "latin": ((*INFO, "service"), b'"oto\xf1o"'),
    "latin_name_of_field": (("status",), b'{"\xf1": 1}'),
    "half_of_a_character": ((*INFO, "service"), rb'"\ud800"'),
    "control_character": ((*INFO, "service"), b'"a\x00b"'),
    "infinite": (("status", "warmupLeftS"), b"1e999"),
    "infinity": (("status", "warmupLeftS"), b"Infinity"),
    "not_a_number": (("status", "warmupLeftS"), b"NaN"),
    "no_json": ((*INFO, "service"), b"\xff\xfe"),
}
OUT_OF_BOUNDS = {
    "slots_of_401_digits": ((*INFO, "capacitySlots"), b"7" * 401),
    "slots_too_many": ((*INFO, "capacitySlots"), b"1000001"),
    "slots_none": ((*INFO, "capacitySlots"), b"0"),
    "slots_infinite": ((*INFO, "capacitySlots"), b"1e400"),
    "slots_true": ((*INFO, "capacitySlots"), b"true"),
    "port_65536": (("specification", "address"), b'"127.0.0.1:65536"'),
    "port_0": (("specification", "address"), b'"127.0.0.1:0"'),
    "port_of_digits": (
        ("specification", "address"),
        b'"127.0.0.1:%s"' % (b"7" * 5000),
    ),
    "port_of_other_digits": (
        ("specification", "address"),
        '"127.0.0.1:\uff18\uff10"'.encode(),
    ),
    "port_of_superscripts": (
        ("specification", "address"),
        '"127.0.0.1:²"'.encode(),
    ),
    "port_negative": (("specification", "address"), b'"127.0.0.1:-1"'),
    "host_name": (("specification", "address"), b'"localhost:9"'),
    "ip_too_large": (("specification", "address"), b'"127.0.0.256:9"'),
    "ip_short": (("specification", "address"), b'"127.1:9"'),
    "ip_6": (("specification", "address"), b'"[::1]:9"'),
    "ip_of_none": (("specification", "address"), b'"0.0.0.0:9"'),
    "ip_of_many": (("specification", "address"), b'"224.0.0.1:9"'),
    "warmup_of_400_digits": (("status", "warmupLeftS"), b"7" * 400),
    "warmup_of_years": (("status", "warmupLeftS"), b"1e9"),
    "warmup_negative": (("status", "warmupLeftS"), b"-1"),
    "seq_of_401_digits": (("status", "seq"), b"7" * 401),
    "seq_beyond_64_bits": (("status", "seq"), b"18446744073709551616"),
    "seq_float": (("status", "seq"), b"1.5"),
    "born_of_401_digits": (("specification", "born"), b"7" * 401),
    "born_negative": (("specification", "born"), b"-1"),
    "long_service": ((*INFO, "service"), b'"%s"' % (b"s" * 5000)),
    "long_version": ((*INFO, "version"), b'"%s"' % (b"s" * 5000)),
    "unknown_state": (("status", "state"), b'"sleeping"'),
    "service_number": ((*INFO, "service"), b"5"),
    "no_status": (("status",), b"null"),
    "list": (("specification",), b"[]"),
}
ODD = UNREADABLE | OUT_OF_BOUNDS
# Texts in place of the metadata of an object.
ODD_METADATA = {
    "revision_text": b'{"name": "another-writer", "revision": "5"}',
    "revision_float": b'{"name": "another-writer", "revision": 5.0}',
    "revision_negative": b'{"name": "another-writer", "revision": -5}',
    "revision_infinite": b'{"name": "another-writer", "revision": 1e400}',
    "revision_of_digits": b'{"name": "another-writer", "revision": %s}'
    % (b"7" * 5000),
    "no_revision": b'{"name": "another-writer"}',
}
NO_NAME = {
    "name_number": b'{"name": 5, "revision": 5}',
    "name_half_of_a_character": rb'{"name": "\ud800", "revision": 5}',
    "name_latin": b'{"name": "oto\xf1o", "revision": 5}',
    "name_long": b'{"name": "%s", "revision": 5}' % (b"n" * 5000),
    "name_control": rb'{"name": "a\u0000b", "revision": 5}',
    "metadata_list": b"[]",
    "metadata_nested": b"[" * DEPTH + b"]" * DEPTH,
}
# Metadata that is odd where nobody reads it.
UNREAD_METADATA = {
    "finalizers": b'{"name": "another-writer", "revision": %%d,'
    b' "finalizers": %s}' % (b"[" * DEPTH + b"]" * DEPTH),
    "created": b'{"name": "another-writer", "revision": %%d, "created": %s}'
    % (b"7" * 5000),
}


def make_entry(path=(), text=None, *, address="127.0.0.1:9"):
    """Returns the bytes of a server's entry, changed in one place.

    Args:
        path: Where to change it; an empty path changes nothing.
        text: Bytes to put there.
        address: Address of the server.
    """
    server = standin.ServerStandin(NAME)
    server.address = address
    entry = server.make_entry("s")
    target = entry
    for key in path[:-1]:
        target = target[key]
    if path:
        target[path[-1]] = "@"
    data = json.dumps(entry).encode()
    return data.replace(b'"@"', text) if path else data
