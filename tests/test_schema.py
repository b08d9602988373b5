"""The operator's configuration: validation, amendments, digests, routing, and the OpenAPI file.

The tests marked PLAIN are derandomized: their examples depend on the source text of the test function, so
that edits to it change the examples.
"""

import copy
import json
import re
import sys
from collections.abc import Callable
from contextlib import nullcontext
from dataclasses import MISSING, fields
from importlib import resources
from typing import Any

import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from larklb.schema import calls, configuration
from larklb.schema.amendments import REMOVE_PARTS, UPSERT_PARTS, amend
from larklb.schema.configuration import Configuration, check, read_stored
from larklb.schema.document import digest, parse
from larklb.schema.errors import MAX_PROBLEMS, InvalidError, UnreadableError
from larklb.schema.routing import Keys, Routes, service_of

PLAIN = settings(derandomize=True, deadline=None, max_examples=150)

EXAMPLE = json.dumps({
    "version": 7,
    "services": [{"name": "desk", "probe": "/up", "saturation": 90, "protocol": "h1", "tls": False},
                 {"name": "ledger", "probe": "/up", "saturation": 140, "protocol": "h1", "tls": False}],
    "limits": {"headerBytes": 8192, "bodyBytes": 1048576, "headerMs": 3000, "idleMs": 9000},
    "tenants": [{"name": "yard", "keys": ["k3y-one", "k3y-two"], "precedence": 1, "ratePerS": 63}],
    "hosts": [{"host": "shop.example", "paths": [
        {"name": "r-list", "prefix": "/list/", "routeType": "safe", "timeoutMs": 2500, "setpointMs": 400,
         "precedence": 2, "tries": 2, "unkeyed": False,
         "distribution": [{"target": "desk", "gain": 80}, {"target": "ledger", "gain": 10}]},
        {"name": "r-order", "prefix": "/order/", "routeType": "unsafe", "timeoutMs": 3000, "setpointMs": 500,
         "precedence": 1, "target": "desk", "tries": 2, "unkeyed": False}]}]}).encode()
HEARTBEAT = (b'{"address":"10.0.0.9:8080","info":{"target":"desk","version":"v1","zone":"north","capacity":'
             b'2},"observed":{"state":"draining","sequence":4,"warmupLeftMs":0.5}}')


def route(name: str, prefix: str, **more: Any) -> dict[str, Any]:
    return {"name": name, "prefix": prefix, "target": "a", **more}


def config(hosts: dict[str, list[dict[str, Any]]]) -> dict[str, Any]:
    return {"version": 1, "services": [{"name": "a"}, {"name": "b"}],
            "hosts": [{"host": host, "paths": paths} for host, paths in hosts.items()]}


def test_example_is_accepted_unchanged() -> None:
    document = parse(EXAMPLE)
    found = check(document, 5)
    assert document == parse(EXAMPLE)
    shared, single = found.hosts[0].paths
    assert (found.version, found.limits.header_ms, found.services[1].saturation) == (7, 3000, 140)
    assert (shared.route_type, shared.target, shared.distribution[1].gain, shared.tries) == (
        "safe", None, 10, 2)
    assert (single.timeout_ms, single.setpoint_ms, single.precedence, single.target) == (3000, 500, 1, "desk")
    keys, routes = Keys(found), Routes(found)
    tenant = keys.tenant("k3y-two")
    assert tenant is not None and (tenant.name, tenant.rate_per_s) == ("yard", 63)
    assert keys.needed and keys.tenant("") is None and keys.tenant("yard") is None
    assert routes.find("Shop.Example:80", "/list/2f?q=/order/") == shared
    assert routes.find("other.example", "/list/2f") is None


def test_everything_not_forbidden_is_accepted() -> None:
    document = config({"h": [route("r", "/", tries=2.0, distribution=None, setpointMs=95_000),
                             route("s", "/s/", timeoutMs=1, setpointMs=60_000.5, unkeyed=True)],
                       "H": [route("t", "/t/")]})
    document |= {"tenants": [{"name": "t", "keys": ["k", "k", ""], "ratePerS": None}], "later": {"x": [1]}}
    found = check(document, 0)
    assert found.tenants is not None and found.tenants[0].rate_per_s == 0
    assert found.hosts[0].paths[0].tries == 2
    assert Keys(found).tenant("") is None, "an empty key identifies no tenant"
    del document["tenants"]
    assert not Keys(check(document, 0)).needed
    assert Keys(check({**document, "tenants": []}, 0)).needed, (
        "an empty list of tenants still makes keys mandatory")


def _path(document: dict[str, Any], i: int = 0) -> dict[str, Any]:
    found: dict[str, Any] = document["hosts"][0]["paths"][i]
    return found


INVALID: list[tuple[str, Callable[[dict[str, Any]], Any]]] = [
    ("target", lambda d: _path(d, 1).update(target="nobody")),
    ("target", lambda d: _path(d, 1).pop("target")),
    ("distribution[1].target", lambda d: _path(d)["distribution"][1].update(target="nobody")),
    ("prefix", lambda d: _path(d, 1).update(prefix="/list/")),
    ("prefix", lambda d: d["hosts"].append({"host": "SHOP.example", "paths": [{**_path(d), "name": "x"}]})),
    ("gain", lambda d: _path(d)["distribution"][0].update(gain=-0.5)),
    ("gain", lambda d: [share.update(gain=0) for share in _path(d)["distribution"]]),
    ("distribution", lambda d: _path(d).update(distribution={})),
    ("setpointMs", lambda d: _path(d).update(setpointMs=62_500)),
    ("timeoutMs", lambda d: _path(d).update(timeoutMs=10**400)),
    ("tries", lambda d: _path(d).update(tries=0)),
    ("tries", lambda d: _path(d).update(tries=1.5)),
    ("routeType", lambda d: _path(d).update(routeType="Safe")),
    ("unkeyed", lambda d: _path(d).update(unkeyed=1)),
    ("prefix", lambda d: _path(d).update(prefix="list/")),
    ("prefix", lambda d: _path(d).update(prefix="/list")),
    ("paths.name", lambda d: _path(d).update(name="r-order")),
    ("paths[0].name", lambda d: _path(d).pop("name")),
    ("host", lambda d: d["hosts"][0].pop("host")),
    ("paths", lambda d: d["hosts"][0].pop("paths")),
    ("services", lambda d: d.pop("services")),
    ("services.name", lambda d: d["services"].append({"name": "desk"})),
    ("services[0]", lambda d: d["services"].insert(0, "desk")),
    ("limits.idleMs", lambda d: d["limits"].update(idleMs=True)),
    ("tenants.keys", lambda d: d["tenants"].append({"name": "t", "keys": ["k3y-one"]})),
    ("tenants.name", lambda d: d["tenants"].append({"name": "yard"})),
    ("tenants.name", lambda d: d["tenants"].append({"name": "yard "})),
    ("tenants.name[0]", lambda d: d["tenants"][0].update(name="two\nlines")),
    ("tenants.name[0]", lambda d: d["tenants"][0].update(name="ya\x00rd")),
    ("tenants[0].keys", lambda d: d["tenants"][0].update(keys="k3y-one")),
    ("tenants", lambda d: d.update(tenants={"k3y-one": 1})),
    ("version", lambda d: d.update(version=6)),
    ("version", lambda d: d.update(version=True)),
    ("version", lambda d: d.update(version="8")),
]


@pytest.mark.parametrize(("expected_field", "invalidate"), INVALID)
def test_invalid_field_is_named(expected_field: str, invalidate: Callable[[dict[str, Any]], Any]) -> None:
    document = parse(EXAMPLE)
    invalidate(document)
    with pytest.raises(InvalidError) as caught:
        check(document, 6)
    assert len(caught.value.problems) == 1 and expected_field in caught.value.problems[0]
    assert re.fullmatch(r"[^ ]+: .+: .+", caught.value.problems[0])
    assert "k3y-one" not in str(caught.value), (
        "no key may appear in an error: whoever reads it in a log could use it")


@pytest.mark.parametrize(("expected_field", "invalidate"), INVALID)
def test_an_invalid_item_of_a_stored_configuration_stops_no_other(
        expected_field: str, invalidate: Callable[[dict[str, Any]], Any]) -> None:
    """Guards against STARVED: a version that took an item which a later one refuses would serve nobody."""
    document = parse(EXAMPLE)
    document["hosts"].append({"host": "calm.example", "paths": [route("calm", "/calm/", target="desk")]})
    document["tenants"].append({"name": "calm", "keys": ["calm-key"]})
    invalidate(document)
    found, problems = read_stored(document, 6)
    assert problems and expected_field in problems[0]
    if expected_field not in ("services", "services[0]"):
        calm = Routes(found).find("calm.example", "/calm/x")
        assert calm is not None and service_of(calm, 0.5) == "desk"
    if expected_field != "tenants":
        tenant = Keys(found).tenant("calm-key")
        assert tenant is not None and tenant.name == "calm"


def test_problems_are_bounded() -> None:
    with pytest.raises(InvalidError) as caught:
        check(config({"h": [route("x" * 500, "nowhere") for _ in range(100)]}), 0)
    assert len(caught.value.problems) == MAX_PROBLEMS and len(str(caught.value)) < 4000


def test_incomplete_or_malformed_body_is_rejected() -> None:
    for body in (EXAMPLE, HEARTBEAT):
        for end in range(len(body)):
            with pytest.raises(UnreadableError):
                parse(body[:end])
    for invalid in (EXAMPLE + b"}", b"[]", b'{"a":NaN}', b'{"a":-Infinity}', b'{"a":1e999}', b'{"a":"\xff"}',
                b'{"a":"\\ud800"}', b'{"a":["x\\uDFFFy"]}', b'{"\\udc00":1}', b'{"a":"\\udc00\\ud800"}',
                b'{"a":"\xed\xa0\x80"}', '{"a":1}'.encode("utf-16"),
                b'{"a":' * 65 + b"1" + b"}" * 65, b"[" * 100_000, b'{"a":' + b"9" * 5000 + b"}"):
        with pytest.raises(UnreadableError):
            parse(invalid)
    for valid in ('{"a":"\\ud83d\\ude00"}', '{"a":"😀"}', '\ufeff{"a":"😀"}'):
        assert parse(valid.encode()) == {"a": "😀"}
    assert parse(b'{"a":"\\\\ud800"}') == {"a": "\\ud800"}, "a backslash, and no surrogate"


# --- amendments, compared with a simple model: a dictionary of routes by name for each host, in order

NAMES = st.sampled_from(["r0", "r1", "r2", "r3", "r4"])
HOSTS = st.sampled_from(["h", "i", "J"])
PATHS = st.lists(st.builds(lambda name, n: {"name": name, "n": n}, NAMES, st.integers(0, 9)), max_size=3)
NAMED = st.lists(st.builds(lambda name, n: {"name": name, "n": n}, st.sampled_from("abc"), st.integers(0, 9)),
                 max_size=3, unique_by=lambda item: str(item["name"]))
ENTRIES = st.lists(st.tuples(HOSTS, PATHS.filter(bool)), max_size=3)

Rows = list[tuple[str, list[dict[str, Any]]]]


@PLAIN
@given(ENTRIES, NAMED, ENTRIES, NAMED, st.sets(NAMES, max_size=2), st.sets(HOSTS, max_size=1),
       st.sets(st.sampled_from("abc"), max_size=2))
def test_amend_does_as_a_plain_model(
        base: Rows, services: list[dict[str, Any]], upsert: Rows, named: list[dict[str, Any]],
        routes: set[str], hosts: set[str], gone: set[str]) -> None:
    held: dict[str, dict[str, Any]] = {}
    for host, paths in base:
        for item in paths:
            if not any(item["name"] in other for other in held.values()):
                held.setdefault(host, {})[item["name"]] = item
    document = {"version": 1, "services": services, "note": {"kept": 1},
                "hosts": [{"host": host, "paths": list(paths.values())} for host, paths in held.items()]}
    change = {"version": 3, "remove": {"routes": sorted(routes), "hosts": sorted(hosts),
                                       "services": sorted(gone), "tenants": ["t"]},
              "upsert": {"hosts": [{"host": h.swapcase(), "paths": p} for h, p in upsert],
                         "services": named, "limits": {"idleMs": 1}}}
    before = copy.deepcopy((document, change))
    for host, paths in upsert:
        known = next((h for h in held if h.lower() == host.lower()), host.swapcase())
        held.setdefault(known, {})
        for item in paths:
            for other, rows in held.items():
                if other != known:
                    rows.pop(item["name"], None)
            held[known][item["name"]] = item
    model = {host: [item for name, item in rows.items() if name not in routes]
             for host, rows in held.items() if host.lower() not in {h.lower() for h in hosts}}
    new = amend(document, change)
    assert (document, change) == before
    assert new["hosts"] == [{"host": host, "paths": rows} for host, rows in model.items() if rows]
    by_name = {item["name"]: item for item in services} | {item["name"]: item for item in named}
    assert new["services"] == [item for name, item in by_name.items() if name not in gone]
    assert (new["version"], new["limits"], new["note"]) == (3, {"idleMs": 1}, {"kept": 1})
    assert "tenants" not in new


@pytest.mark.parametrize("change", [
    {}, {"version": True}, {"version": 8, "upsert": []}, {"version": 8, "upsert": {"routes": []}},
    {"version": 8, "upsert": {"hosts": {}}}, {"version": 8, "upsert": {"hosts": [{"paths": []}]}},
    {"version": 8, "upsert": {"hosts": [{"host": "h", "paths": [{}]}], "limits": {}}},
    {"version": 8, "upsert": {"limits": 1}}, {"version": 8, "upsert": {"services": [{"name": 1}]}},
    {"version": 8, "remove": {"routes": "r"}},
    {"version": 8, "remove": {"keys": ["k"]}}, {"version": 8, "remove": {"routes": [{"name": "r"}]}}])
def test_malformed_change_is_rejected(change: dict[str, Any]) -> None:
    with pytest.raises(InvalidError):
        amend(parse(EXAMPLE), change)


TEXTS = st.text(max_size=3)
UNEQUAL: list[Any] = [1, True, "1", [1], None, 1.5, [], {}]
SCALARS = st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | TEXTS
JSONS = st.recursive(
    SCALARS, lambda part: st.lists(part, max_size=3) | st.dictionaries(TEXTS, part, max_size=3), max_leaves=8)


def _reverse(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _reverse(part) for key, part in reversed(value.items())}
    if isinstance(value, list):
        return [_reverse(part) for part in value]
    return float(value) if type(value) is int and abs(value) < 2**53 else value


@PLAIN
@given(st.dictionaries(TEXTS, JSONS, max_size=4))
def test_a_digest_is_of_the_meaning(document: dict[str, Any]) -> None:
    assert digest(document) == digest(_reverse(document)) == digest(json.loads(json.dumps(document)))
    assert re.fullmatch("[0-9a-f]{32}", digest(document))
    assert len({digest({**document, "more": odd}) for odd in UNEQUAL}) == len(UNEQUAL)


SEGMENTS = st.lists(st.sampled_from(["a", "b", "ab", "?x="]), max_size=4)


@PLAIN
@given(st.lists(st.tuples(HOSTS, SEGMENTS), max_size=8, unique_by=str), HOSTS, SEGMENTS,
       st.sampled_from(["", "/", "/a/b/?/a/", "?x=/a/", "a", "/" * 9]), st.sampled_from(["", ":8080"]))
def test_routing_does_as_a_scan(rows: list[tuple[str, list[str]]], host: str, segments: list[str], end: str,
                                port: str) -> None:
    prefixes = [(name, "/" + "".join(f"{part}/" for part in parts)) for name, parts in rows]
    held = {host: [route(f"r{i}", prefix) for i, (name, prefix) in enumerate(prefixes) if name == host]
            for host in ("h", "i", "J")}
    path = "/" + "/".join(segments) + end
    fitting = [(len(prefix), f"r{i}") for i, (name, prefix) in enumerate(prefixes)
               if name == host and path.split("?")[0].startswith(prefix)]
    found = Routes(check(config(held), 0)).find(host.swapcase() + port, path)
    assert (found.name if found else None) == (max(fitting)[1] if fitting else None)


def test_service_is_selected_by_gain() -> None:
    shares = [{"target": "b", "gain": 0}, {"target": "a", "gain": 0.1}, {"target": "b", "gain": 0.3},
              {"target": "a", "gain": 0}]
    found = check(config({"h": [route("r", "/", distribution=shares)]}), 0).hosts[0].paths[0]
    picks = [Routes.service_of(found, i / 1000) for i in range(1000)]
    assert Routes.targets(found) == ["a", "b"] and abs(picks.count("a") - 250) <= 1 and picks[0] == "a"
    # With these gains, rounding leaves a remainder after the last share, which must not select a service
    # without gain.
    shares = [{"target": "a", "gain": 1.4}, {"target": "b", "gain": 4.1}, {"target": "a", "gain": 0}]
    found = check(config({"h": [route("r", "/", distribution=shares)]}), 0).hosts[0].paths[0]
    assert Routes.service_of(found, 1 - 2**-53) == "b"
    for gain in (5e-324, 1.7e308):  # each of which is half
        shares = [{"target": "a", "gain": gain}, {"target": "b", "gain": gain}, {"target": "b", "gain": 0}]
        found = check(config({"h": [route("r", "/", distribution=shares)]}), 0).hosts[0].paths[0]
        assert [Routes.service_of(found, i / 10) for i in range(10)] == ["a"] * 5 + ["b"] * 5


def test_keys_are_found_as_headers_carry_them() -> None:
    """Guards against DENIED: a key with a blank at an end, or beyond ASCII, was answered 401."""
    tenants = [{"name": "t", "keys": ["plain", "end ", "\tboth ", " ", "clé", "鍵"]}]
    keys = Keys(check(config({"h": [route("r", "/")]}) | {"tenants": tenants}, 0))
    for received in ("plain", "end", "both", "clé", "clé".encode().decode("latin-1"),
                     "鍵".encode().decode("latin-1")):
        assert keys.tenant(received) is not None, received
    assert keys.tenant("") is None and keys.tenant("cle") is None
    with pytest.raises(InvalidError, match="keys"):
        check(config({"h": [route("r", "/")]}) | {"tenants": [*tenants, {"name": "u", "keys": ["end"]}]}, 0)


def test_cost_of_path_with_many_slashes_is_bounded() -> None:
    """The number of lookups depends on the configured prefixes, not on the length of the path."""
    routes, events = Routes(check(config({"h": [route("r", "/a/b/")]}), 0)), list[str]()
    sys.setprofile(lambda _frame, event, _argument: events.append(event))
    try:
        found = routes.find("h", "/" * 5000)
    finally:
        sys.setprofile(None)
    assert found is None and len(events) < 80


def test_heartbeat_parsing() -> None:
    found = calls.parse_heartbeat(HEARTBEAT)
    assert (found.address, found.target, found.capacity) == ("10.0.0.9:8080", "desk", 2)
    assert (found.state, found.sequence, found.warmup_left_ms) == ("draining", 4, 0.5)
    for expected_field, old, new in [
            ("address", b":8080", b""), ("address", b":8080", b":80800"), ("address", b"10.", b"/"),
            ("capacity", b'"capacity":2', b'"capacity":0'), ("state", b"draining", b"gone"),
            ("sequence", b":4", b":null"), ("info", b'"info"', b'"inf"'), ("target", b"desk", b""),
            ("warmupLeftMs", b"0.5", b"-1")]:
        with pytest.raises(InvalidError) as caught:
            calls.parse_heartbeat(HEARTBEAT.replace(old, new, 1))
        assert caught.value.problems[0].startswith(expected_field)


def test_openapi_file_agrees_with_the_code() -> None:
    api = yaml.safe_load(resources.files("larklb.schema").joinpath("openapi.yaml").read_text("utf-8"))
    heartbeat, leave, *rest = api["paths"]
    assert calls.HEARTBEAT_PATTERN.fullmatch(heartbeat.replace("{id}", "i-1")) and "{id}" in heartbeat
    assert calls.LEAVE_PATTERN.fullmatch(leave.replace("{id}", "i-1")) and (
        not calls.LEAVE_PATTERN.fullmatch(heartbeat))
    assert rest == [calls.REPLACE, calls.AMEND, calls.READ, calls.READINESS, *calls.STATUS_PATHS]
    assert api["components"]["parameters"]["BaseVersion"]["name"] == calls.BASE_VERSION_HEADER
    statuses = {call["operationId"]: set(call["responses"]) for path in api["paths"].values()
                for method, call in path.items() if method in ("get", "post")}
    assert statuses["replace"] == statuses["amend"] == {"200", "307", "400", "412", "503"}
    assert statuses["readiness"] == {"200", "503"} and "400" in statuses["heartbeat"] & statuses["leave"]
    schemas = api["components"]["schemas"]
    heartbeat_properties = schemas["Heartbeat"]["properties"]
    flat = {"required": ["address"], "properties": {"address": heartbeat_properties["address"]}}
    for part in ("info", "observed"):
        flat["required"] += heartbeat_properties[part]["required"]
        flat["properties"] |= heartbeat_properties[part]["properties"]
    # The paths of hosts, and tenants, are validated by separate code; the class doesn't require paths.
    schemas["Host"]["required"].remove("paths")
    for name, schema in {**schemas, "Heartbeat": flat}.items():
        kind = getattr(calls if name == "Heartbeat" else configuration, name, None)
        if kind is None or kind is Configuration:
            continue
        by_alias = {item.metadata.get("alias", item.name): item for item in fields(kind)}
        assert set(schema["properties"]) == set(by_alias), name
        required = {key for key, item in by_alias.items() if item.default is item.default_factory is MISSING}
        assert set(schema.get("required", ())) == required, name
        defaults = {key: item.default for key, item in by_alias.items() if item.default is not MISSING}
        assert {k: v["default"] for k, v in schema["properties"].items() if "default" in v} == defaults, name
    assert set(schemas["Configuration"]["properties"]) == {item.name for item in fields(Configuration)}
    for key in schemas["Configuration"]["properties"]:
        document = {other: value for other, value in parse(EXAMPLE).items() if other != key}
        with pytest.raises(InvalidError) if key in schemas["Configuration"]["required"] else nullcontext():
            check(document, 0)
    change = schemas["Change"]["properties"]
    assert tuple(change["upsert"]["properties"]) == UPSERT_PARTS
    assert tuple(change["remove"]["properties"]) == REMOVE_PARTS
