from papayapost.rules import ChangeKind, Mismatch, compile_rules, diff_rules, explain

RULES = """\
route POST wind.example/bookings -> festival rank=high # Mei: one patch, one club
route GET wind.example/gusts/live -> gusts rank=urgent idempotent=yes # Lin: launches
route GET other.example/gusts/* -> gusts idempotent=yes # Bo: shop site
route GET wind.example/gusts/* -> gusts rank=urgent idempotent=yes # Lin: launches
route GET wind.example/archive/* -> archive rank=bulk # Mei: workshops
share urgent floor=50% # Lin: squall lines
"""


def test_an_explanation_has_the_matching_route_and_earlier_near_misses():
    found = explain(compile_rules(RULES), "GET", "wind.example", "/gusts/wanli")
    assert (found.route.line, found.route.owner) == (4, "Lin")
    assert found.share.floor_percent == 50
    assert [(miss.route.line, miss.mismatch) for miss in found.near_misses] == [
        (2, Mismatch.PATH),
        (3, Mismatch.HOST),
    ]


def test_an_explanation_without_a_matching_route_has_near_misses():
    found = explain(compile_rules(RULES), "GET", "wind.example", "/bookings")
    assert found.route is None
    assert [miss.message for miss in found.near_misses] == [
        "requires POST, the call has GET"
    ]


def test_a_diff_reports_added_removed_changed_and_moved_rules_and_owners():
    lines = RULES.splitlines()
    changed = lines[1].replace("Lin", "Mei")
    added = "route GET /stations -> stations # Bo: forecasters"
    after = "\n".join(["# new", lines[4], lines[0], changed, lines[3], added])
    changes = diff_rules(RULES, after)
    assert [(c.kind, c.rule, c.owner_before, c.owner_after) for c in changes] == [
        (ChangeKind.MOVED, "route GET wind.example/archive/*", "Mei", "Mei"),
        (ChangeKind.CHANGED, "route GET wind.example/gusts/live", "Lin", "Mei"),
        (ChangeKind.ADDED, "route GET /stations", "", "Bo"),
        (ChangeKind.REMOVED, "route GET other.example/gusts/*", "Bo", ""),
        (ChangeKind.REMOVED, "share urgent", "Lin", ""),
    ]


def test_texts_that_do_not_compile_can_be_compared():
    changes = diff_rules("route GET /a -> a\nroute GET /a -> b\n", "nonsense\x1b\n")
    assert [(c.kind.value, c.rule) for c in changes] == [
        ("added", "nonsense\x1b"),
        ("removed", "route GET /a"),
        ("removed", "route GET /a #2"),
    ]
