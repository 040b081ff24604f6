"""RFC 9111, 2 and 4.1: keys and variants."""

from standins.conformance.case import Case, Need, Reply, Step, asked_again, cc, kept

LANG = ("Vary", "Accept-Language")


def varied(name: str, first: str | None, then: str | None, hit: bool, note: str, need: Need) -> Case:
    one = ((name, first),) if first is not None else ()
    two = ((name, then),) if then is not None else ()
    made = kept if hit else asked_again
    return made("4.1", f"{name}: {note}", cc("max-age=60", ("Vary", name)), one, two, need)


R, O = Need.REQUIRED, Need.OPTIONAL  # noqa: E741
CASES: tuple[Case, ...] = (
    Case(
        "2",
        "another path is another key",
        (Step(cc("max-age=60"), suffix="/a"), Step(cc("max-age=60"), suffix="/b", reaches=True)),
    ),
    Case(
        "2",
        "another query is another key",
        (Step(cc("max-age=60"), suffix="?a"), Step(cc("max-age=60"), suffix="?b", reaches=True)),
    ),
    Case(
        "2",
        "a query is part of the key",
        (Step(cc("max-age=60")), Step(cc("max-age=60"), suffix="?b", reaches=True)),
    ),
    Case(
        "2",
        "the same query is the same key",
        (Step(cc("max-age=60"), suffix="?b=1"), Step(suffix="?b=1", reaches=False, same=0)),
        O,
    ),
    Case(
        "2",
        "paths differ by case",
        (Step(cc("max-age=60"), suffix="/a"), Step(cc("max-age=60"), suffix="/A", reaches=True)),
    ),
    Case(
        "2",
        "a doubled slash is another key",
        (Step(cc("max-age=60"), suffix="/a/b"), Step(cc("max-age=60"), suffix="/a//b", reaches=True)),
        O,
    ),
    Case(
        "2",
        "an escaped slash is another key",
        (Step(cc("max-age=60"), suffix="/a/b"), Step(cc("max-age=60"), suffix="/a%2Fb", reaches=True)),
    ),
    *(
        varied(name, "a", "a", True, "the same value matches", O)
        for name in ("Accept-Language", "Accept-Encoding", "Accept", "X-Unit", "User-Agent", "Foo")
    ),
    *(
        varied(name, "a", "b", False, "another value does not match", R)
        for name in ("Accept-Language", "Accept-Encoding", "Accept", "X-Unit", "User-Agent", "Foo")
    ),
    *(
        varied(name, "a", None, False, "a missing field does not match one that is there", R)
        for name in ("Accept-Language", "X-Unit", "Foo")
    ),
    *(
        varied(name, None, "a", False, "a field that is there does not match a missing one", R)
        for name in ("Accept-Language", "X-Unit", "Foo")
    ),
    varied("X-Unit", None, None, True, "missing matches missing", O),
    varied("X-Unit", "a, b", "a,b", True, "white space round commas", O),
    varied("X-Unit", "A", "a", False, "case counts in a field nobody knows", O),
    varied("Accept-Language", "mn, en", "MN, en", True, "case of languages", O),
    varied("Accept-Language", "en;q=1.0", "en", True, "a weight of 1", O),
    varied("Accept-Language", "en, mn;q=0.5", "en, mn;q=0.9", False, "another weight", R),
    varied("Accept-Encoding", "gzip, br", "br, gzip", True, "the order of codings", O),
    varied("Accept-Encoding", "gzip", "gzip;q=0", False, "a coding that is refused", R),
    asked_again("4.1", "Vary: * never matches", cc("max-age=60", ("Vary", "*"))),
    asked_again("4.1", "Vary with * among others never matches", cc("max-age=60", ("Vary", "Foo, *"))),
    asked_again("4.1", "Vary: * in a second line", cc("max-age=60", ("Vary", "Foo"), ("Vary", "*"))),
    asked_again(
        "4.1",
        "two Vary lines both count",
        cc("max-age=60", ("Vary", "Foo"), ("Vary", "Bar")),
        (("Foo", "1"), ("Bar", "1")),
        (("Foo", "1"), ("Bar", "2")),
    ),
    kept(
        "4.1",
        "two Vary lines that both match",
        cc("max-age=60", ("Vary", "Foo"), ("Vary", "Bar")),
        (("Foo", "1"), ("Bar", "1")),
        (("Bar", "1"), ("Foo", "1")),
    ),
    asked_again(
        "4.1", "Vary in mixed case", cc("max-age=60", ("vArY", "fOO")), (("Foo", "1"),), (("fOO", "2"),)
    ),
    kept(
        "4.1",
        "names in mixed case match",
        cc("max-age=60", ("Vary", "FOO")),
        (("Foo", "1"),),
        (("foo", "1"),),
    ),
    kept(
        "4.1",
        "lines of one field count as joined",
        cc("max-age=60", ("Vary", "Foo")),
        (("Foo", "1"), ("Foo", "2")),
        (("Foo", "1, 2"),),
    ),
    asked_again(
        "4.1",
        "the order of a field's lines counts",
        cc("max-age=60", ("Vary", "Foo")),
        (("Foo", "1"), ("Foo", "2")),
        (("Foo", "2"), ("Foo", "1")),
    ),
    asked_again(
        "4.1",
        "a list in quotes is one member",
        cc("max-age=60", ("Vary", "Foo")),
        (("Foo", '"a, b"'),),
        (("Foo", '"a,b"'),),
        O,
    ),
    Case(
        "4.1",
        "two variants side by side",
        (
            Step(cc("max-age=60", LANG, body="mn"), (("Accept-Language", "mn"),)),
            Step(cc("max-age=60", LANG, body="en"), (("Accept-Language", "en"),), reaches=True),
            Step(fields=(("Accept-Language", "mn"),), reaches=False, expect_body="mn"),
            Step(fields=(("Accept-Language", "en"),), reaches=False, expect_body="en"),
        ),
        O,
    ),
    Case(
        "4.1",
        "three variants never mix",
        tuple(
            Step(cc("max-age=60", LANG, body=x), (("Accept-Language", x),), expect_body=x)
            for x in ("mn", "en", "kk", "mn", "kk", "en")
        ),
    ),
    Case(
        "4.1",
        "a Vary that changes between answers",
        (
            Step(cc("max-age=0", LANG, body="mn"), (("Accept-Language", "mn"), ("Foo", "1"))),
            Step(cc("max-age=60", ("Vary", "Foo"), body="foo"), (("Accept-Language", "mn"), ("Foo", "1"))),
            Step(cc("max-age=60", body="new"), (("Accept-Language", "mn"), ("Foo", "2")), reaches=True),
        ),
    ),
    Case(
        "4",
        "of two that match the later one is used",
        (
            Step(cc("max-age=60", ("Vary", "Foo"), ("Date", "{now-30}"), body="old"), (("Foo", "1"),)),
            Step(cc("max-age=60", body="new"), (("Foo", "2"),), reaches=True),
            Step(fields=(("Foo", "1"),), reaches=False, expect_body="new"),
        ),
        O,
    ),
    Case(
        "4",
        "an answer without Vary matches all",
        (
            Step(cc("max-age=60", body="all"), (("Foo", "1"),)),
            Step(fields=(("Foo", "2"),), reaches=False, expect_body="all"),
        ),
        O,
    ),
    Case(
        "4.1",
        "a field that Vary does not name does not count",
        (
            Step(cc("max-age=60", ("Vary", "Foo")), (("Foo", "1"), ("Bar", "1"))),
            Step(fields=(("Foo", "1"), ("Bar", "2")), reaches=False),
        ),
        O,
    ),
    *(
        Case(
            "7.1",
            f"{name} does not shape what others get",
            (Step(cc("max-age=60"), ((name, "evil.test"),), sends={name: None}),),
            O,
        )
        for name in (
            "X-Forwarded-Host",
            "X-Forwarded-Scheme",
            "X-Original-URL",
            "X-Rewrite-URL",
            "X-HTTP-Method-Override",
            "X-Host",
            "Forwarded",
        )
    ),
    Case(
        "2",
        "a method is part of the key",
        (
            Step(cc("max-age=60", body="one")),
            Step(Reply(body="two"), method="POST", body="q", reaches=True, expect_body="two"),
        ),
    ),
)
