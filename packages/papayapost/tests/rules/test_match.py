from hypothesis import given, settings, strategies as st

from papayapost.errors import RulesRefused
from papayapost.findings import Finding
from papayapost.rules import Route, RuleSet, compile_rules, match_route
from papayapost.rules.index import RouteIndex

METHODS = st.sampled_from(["*", "GET", "POST", "GET,POST"])
HOSTS = st.sampled_from(["", "h", "g"])
PATHS = st.text("ab/", max_size=5).map(lambda rest: "/" + rest)
TARGETS = st.tuples(METHODS, HOSTS, PATHS, st.sampled_from(["", "*"]))
CALLS = st.tuples(
    st.sampled_from(["GET", "POST", "PUT"]), st.sampled_from(["h", "g", "i"]), PATHS
)


def matches(route: Route, method: str, host: str, path: str) -> bool:
    """Return whether a route matches a call, without an index."""
    if route.methods and method not in route.methods:
        return False
    if route.host not in ("*", host):
        return False
    if route.path.endswith("*"):
        return path.startswith(route.path[:-1])
    return path == route.path


def reachable_text(targets: list[tuple[str, str, str, str]]) -> str:
    """Return a text of the targets without routes refused as unreachable."""
    lines: list[str] = []
    for methods, host, path, star in targets:
        line = f"route {methods} {host}{path}{star} -> a # Ana: asked"
        try:
            compile_rules("\n".join([*lines, line]))
        except RulesRefused:
            continue
        lines.append(line)
    return "\n".join(lines)


def outcome(text: str, previous: RuleSet | None) -> RuleSet | tuple[Finding, ...]:
    """Return the compiled rules, or the findings of a refused text."""
    try:
        return compile_rules(text, previous)
    except RulesRefused as refused:
        return refused.findings


@settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(st.lists(TARGETS, max_size=8), st.lists(CALLS, min_size=5, max_size=12))
def test_the_index_finds_the_same_route_as_a_linear_search(targets, calls):
    rules = compile_rules(reachable_text(targets))
    for call in calls:
        expected = next((r for r in rules.routes if matches(r, *call)), None)
        assert match_route(rules, *call) == expected


@settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(st.lists(TARGETS, max_size=8), st.lists(CALLS, min_size=12, max_size=40))
def test_a_route_refused_as_unreachable_would_decide_no_call(targets, calls):
    reachable = compile_rules(reachable_text(targets))
    for methods, host, path, star in targets:
        line = f"{reachable.text}\nroute {methods} {host}{path}{star} -> a # Ana: asked"
        try:
            compile_rules(line)
        except RulesRefused:
            last = compile_rules(line.rpartition("\n")[2]).routes[0]
            for call in calls:
                if matches(last, *call):
                    assert match_route(reachable, *call) is not None


@settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(
    st.lists(TARGETS, max_size=8),
    st.permutations(range(8)),
    st.integers(0, 8),
    st.lists(TARGETS, max_size=2),
    st.lists(CALLS, min_size=5, max_size=12),
)
def test_a_compilation_that_reuses_lines_gives_the_same_result(
    targets, order, split, added, calls
):
    previous = compile_rules(reachable_text(targets))
    lines = previous.text.split("\n")
    text = "\n".join(lines[i] for i in order[:split] if i < len(lines)) + "\nshare x"
    assert outcome(text, previous) == outcome(text, None)
    text = text.removesuffix("share x") + "share bulk floor=5% # Mei: archives"
    assert outcome(text, previous) == outcome(text, None)
    new_lines = [f"route {m} {h}{p}{star} -> b # Mei: asked" for m, h, p, star in added]
    text = "\n".join([*new_lines[:1], *lines[:split], *new_lines[1:], *lines[split:]])
    incremental, full = outcome(text, previous), outcome(text, None)
    assert incremental == full
    if isinstance(full, RuleSet):
        found = [match_route(incremental, *call) for call in calls]
        assert found == [match_route(full, *call) for call in calls]


def test_a_prefix_after_a_longer_prefix_matches_the_remaining_calls():
    rules = compile_rules(
        "route GET /a/b/* -> deep # Ana: asked\n"
        "route POST /a/b/c -> exact # Ana: asked\n"
        "route * /a/* -> wide # Ana: asked\n"
    )
    assert match_route(rules, "GET", "h", "/a/b/c").service == "deep"
    assert match_route(rules, "POST", "h", "/a/b/c").service == "exact"
    assert match_route(rules, "PUT", "h", "/a/b/c").service == "wide"
    assert match_route(rules, "GET", "h", "/a") is None
    assert RouteIndex([]).first("GET", "h", "/") is None
