"""Cases for RFC 9111, 2 and 4.1: cache keys and variants by Vary."""

from standins.conformance.case import (
    Case,
    RequirementLevel,
    Response,
    Step,
    cache_control,
    forwarded_again,
    reused,
)

VARY_ACCEPT_LANGUAGE = ("Vary", "Accept-Language")


def vary_case(
    field_name: str,
    first_value: str | None,
    second_value: str | None,
    is_hit: bool,
    description: str,
    level: RequirementLevel,
) -> Case:
    """Builds a case whose two requests differ in the field that Vary names; a value of None leaves it out."""
    first_fields = ((field_name, first_value),) if first_value is not None else ()
    second_fields = ((field_name, second_value),) if second_value is not None else ()
    build = reused if is_hit else forwarded_again
    return build(
        "4.1",
        f"{field_name}: {description}",
        cache_control("max-age=60", ("Vary", field_name)),
        first_fields,
        second_fields,
        level,
    )


REQUIRED, OPTIONAL = RequirementLevel.REQUIRED, RequirementLevel.OPTIONAL
CASES: tuple[Case, ...] = (
    Case(
        "2",
        "another path is another key",
        (
            Step(cache_control("max-age=60"), suffix="/a"),
            Step(cache_control("max-age=60"), suffix="/b", expect_forwarded=True),
        ),
    ),
    Case(
        "2",
        "another query is another key",
        (
            Step(cache_control("max-age=60"), suffix="?a"),
            Step(cache_control("max-age=60"), suffix="?b", expect_forwarded=True),
        ),
    ),
    Case(
        "2",
        "a query is part of the key",
        (
            Step(cache_control("max-age=60")),
            Step(cache_control("max-age=60"), suffix="?b", expect_forwarded=True),
        ),
    ),
    Case(
        "2",
        "the same query is the same key",
        (
            Step(cache_control("max-age=60"), suffix="?b=1"),
            Step(suffix="?b=1", expect_forwarded=False, expect_body_of_step=0),
        ),
        OPTIONAL,
    ),
    Case(
        "2",
        "paths are case-sensitive",
        (
            Step(cache_control("max-age=60"), suffix="/a"),
            Step(cache_control("max-age=60"), suffix="/A", expect_forwarded=True),
        ),
    ),
    Case(
        "2",
        "a double slash is another key",
        (
            Step(cache_control("max-age=60"), suffix="/a/b"),
            Step(cache_control("max-age=60"), suffix="/a//b", expect_forwarded=True),
        ),
        OPTIONAL,
    ),
    Case(
        "2",
        "an escaped slash is another key",
        (
            Step(cache_control("max-age=60"), suffix="/a/b"),
            Step(cache_control("max-age=60"), suffix="/a%2Fb", expect_forwarded=True),
        ),
    ),
    *(
        vary_case(field_name, "a", "a", True, "the same value matches", OPTIONAL)
        for field_name in ("Accept-Language", "Accept-Encoding", "Accept", "X-Unit", "User-Agent", "Foo")
    ),
    *(
        vary_case(field_name, "a", "b", False, "another value does not match", REQUIRED)
        for field_name in ("Accept-Language", "Accept-Encoding", "Accept", "X-Unit", "User-Agent", "Foo")
    ),
    *(
        vary_case(field_name, "a", None, False, "an absent field does not match a present one", REQUIRED)
        for field_name in ("Accept-Language", "X-Unit", "Foo")
    ),
    *(
        vary_case(field_name, None, "a", False, "a present field does not match an absent one", REQUIRED)
        for field_name in ("Accept-Language", "X-Unit", "Foo")
    ),
    vary_case("X-Unit", None, None, True, "absent matches absent", OPTIONAL),
    vary_case("X-Unit", "a, b", "a,b", True, "whitespace around commas", OPTIONAL),
    vary_case("X-Unit", "A", "a", False, "an unknown field is case-sensitive", OPTIONAL),
    vary_case("Accept-Language", "mn, en", "MN, en", True, "languages are not case-sensitive", OPTIONAL),
    vary_case("Accept-Language", "en;q=1.0", "en", True, "a weight of 1 equals no weight", OPTIONAL),
    vary_case(
        "Accept-Language", "en, mn;q=0.5", "en, mn;q=0.9", False, "another weight does not match", REQUIRED
    ),
    vary_case("Accept-Encoding", "gzip, br", "br, gzip", True, "the order of codings is ignored", OPTIONAL),
    vary_case("Accept-Encoding", "gzip", "gzip;q=0", False, "a refused coding does not match", REQUIRED),
    forwarded_again("4.1", "Vary: * never matches", cache_control("max-age=60", ("Vary", "*"))),
    forwarded_again(
        "4.1", "Vary with * among others never matches", cache_control("max-age=60", ("Vary", "Foo, *"))
    ),
    forwarded_again(
        "4.1", "Vary: * in a second field line", cache_control("max-age=60", ("Vary", "Foo"), ("Vary", "*"))
    ),
    forwarded_again(
        "4.1",
        "of two Vary field lines both are used",
        cache_control("max-age=60", ("Vary", "Foo"), ("Vary", "Bar")),
        (("Foo", "1"), ("Bar", "1")),
        (("Foo", "1"), ("Bar", "2")),
    ),
    reused(
        "4.1",
        "two Vary field lines that both match",
        cache_control("max-age=60", ("Vary", "Foo"), ("Vary", "Bar")),
        (("Foo", "1"), ("Bar", "1")),
        (("Bar", "1"), ("Foo", "1")),
    ),
    forwarded_again(
        "4.1",
        "the name Vary and its value in mixed case",
        cache_control("max-age=60", ("vArY", "fOO")),
        (("Foo", "1"),),
        (("fOO", "2"),),
    ),
    reused(
        "4.1",
        "field names in mixed case match",
        cache_control("max-age=60", ("Vary", "FOO")),
        (("Foo", "1"),),
        (("foo", "1"),),
    ),
    reused(
        "4.1",
        "field lines of one field are joined",
        cache_control("max-age=60", ("Vary", "Foo")),
        (("Foo", "1"), ("Foo", "2")),
        (("Foo", "1, 2"),),
    ),
    forwarded_again(
        "4.1",
        "the order of field lines matters",
        cache_control("max-age=60", ("Vary", "Foo")),
        (("Foo", "1"), ("Foo", "2")),
        (("Foo", "2"), ("Foo", "1")),
    ),
    forwarded_again(
        "4.1",
        "a quoted list is one member",
        cache_control("max-age=60", ("Vary", "Foo")),
        (("Foo", '"a, b"'),),
        (("Foo", '"a,b"'),),
        OPTIONAL,
    ),
    Case(
        "4.1",
        "two variants are stored",
        (
            Step(cache_control("max-age=60", VARY_ACCEPT_LANGUAGE, body="mn"), (("Accept-Language", "mn"),)),
            Step(
                cache_control("max-age=60", VARY_ACCEPT_LANGUAGE, body="en"),
                (("Accept-Language", "en"),),
                expect_forwarded=True,
            ),
            Step(fields=(("Accept-Language", "mn"),), expect_forwarded=False, expect_body="mn"),
            Step(fields=(("Accept-Language", "en"),), expect_forwarded=False, expect_body="en"),
        ),
        OPTIONAL,
    ),
    Case(
        "4.1",
        "three variants are never mixed up",
        tuple(
            Step(
                cache_control("max-age=60", VARY_ACCEPT_LANGUAGE, body=language),
                (("Accept-Language", language),),
                expect_body=language,
            )
            for language in ("mn", "en", "kk", "mn", "kk", "en")
        ),
    ),
    Case(
        "4.1",
        "a Vary that changes between responses",
        (
            Step(
                cache_control("max-age=0", VARY_ACCEPT_LANGUAGE, body="mn"),
                (("Accept-Language", "mn"), ("Foo", "1")),
            ),
            Step(
                cache_control("max-age=60", ("Vary", "Foo"), body="foo"),
                (("Accept-Language", "mn"), ("Foo", "1")),
            ),
            Step(
                cache_control("max-age=60", body="new"),
                (("Accept-Language", "mn"), ("Foo", "2")),
                expect_forwarded=True,
            ),
        ),
    ),
    Case(
        "4",
        "the later of two matching responses is used",
        (
            Step(
                cache_control("max-age=60", ("Vary", "Foo"), ("Date", "{now-30}"), body="old"),
                (("Foo", "1"),),
            ),
            Step(cache_control("max-age=60", body="new"), (("Foo", "2"),), expect_forwarded=True),
            Step(fields=(("Foo", "1"),), expect_forwarded=False, expect_body="new"),
        ),
        OPTIONAL,
    ),
    Case(
        "4",
        "a response without Vary matches every request",
        (
            Step(cache_control("max-age=60", body="all"), (("Foo", "1"),)),
            Step(fields=(("Foo", "2"),), expect_forwarded=False, expect_body="all"),
        ),
        OPTIONAL,
    ),
    Case(
        "4.1",
        "a field that Vary does not name is ignored",
        (
            Step(cache_control("max-age=60", ("Vary", "Foo")), (("Foo", "1"), ("Bar", "1"))),
            Step(fields=(("Foo", "1"), ("Bar", "2")), expect_forwarded=False),
        ),
        OPTIONAL,
    ),
    *(
        Case(
            "7.1",
            f"{field_name} is removed, to prevent cache poisoning",
            (
                Step(
                    cache_control("max-age=60"),
                    ((field_name, "evil.test"),),
                    expect_forwarded_fields={field_name: None},
                ),
            ),
            OPTIONAL,
        )
        for field_name in (
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
            Step(cache_control("max-age=60", body="one")),
            Step(Response(body="two"), method="POST", body="q", expect_forwarded=True, expect_body="two"),
        ),
    ),
)
