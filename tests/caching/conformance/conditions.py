"""RFC 9111, 4.3.2 and RFC 9110, 13 and 14: conditional and range requests of clients."""

from standins.conformance.case import Case, Need, Reply, Step, cc

O = Need.OPTIONAL  # noqa: E741
FIRST = Step(
    cc(
        "max-age=60",
        ("ETag", '"v1"'),
        ("Last-Modified", "Fri, 01 Jan 2021 00:00:00 GMT"),
        ("Content-Type", "text/plain"),
        body="0123456789",
    )
)
WEAK = Step(cc("max-age=60", ("ETag", 'W/"v1"'), body="0123456789"))
DATED = Step(cc("max-age=60", ("Last-Modified", "Fri, 01 Jan 2021 00:00:00 GMT"), body="0123456789"))


def then(
    section: str,
    name: str,
    first: Step,
    fields: tuple[tuple[str, str], ...],
    status: int,
    need: Need = O,
    body: str | None = None,
    **more: object,
) -> Case:
    last = Step(fields=fields, reaches=False, status=status, expect_body=body, **more)  # type: ignore[arg-type]
    return Case(section, name, (first, last), need)


def ranged(name: str, given: str, status: int, body: str | None, content: str | None, need: Need = O) -> Case:
    return then(
        "9110 14.2", name, FIRST, (("Range", given),), status, need, body, has={"content-range": content}
    )


CASES: tuple[Case, ...] = (
    then("4.3.2", "If-None-Match with the tag", FIRST, (("If-None-Match", '"v1"'),), 304),
    then("4.3.2", "If-None-Match with the tag among others", FIRST, (("If-None-Match", '"v0", "v1"'),), 304),
    then(
        "4.3.2",
        "If-None-Match in two lines",
        FIRST,
        (("If-None-Match", '"v0"'), ("If-None-Match", '"v1"')),
        304,
    ),
    then("4.3.2", "If-None-Match with another tag", FIRST, (("If-None-Match", '"v2"'),), 200, Need.REQUIRED),
    then("4.3.2", "If-None-Match compares weakly", FIRST, (("If-None-Match", 'W/"v1"'),), 304),
    then("4.3.2", "If-None-Match and a weak stored tag", WEAK, (("If-None-Match", '"v1"'),), 304),
    then("4.3.2", "If-None-Match: *", FIRST, (("If-None-Match", "*"),), 304),
    then("4.3.2", "If-None-Match with a comma in a tag", FIRST, (("If-None-Match", '"a,b", "v1"'),), 304),
    then("4.3.2", "tags compare by case", FIRST, (("If-None-Match", '"V1"'),), 200, Need.REQUIRED),
    then("4.3.2", "a tag without quotes matches nothing", FIRST, (("If-None-Match", "v1"),), 200),
    then(
        "4.3.2",
        "If-Modified-Since of that date",
        FIRST,
        (("If-Modified-Since", "Fri, 01 Jan 2021 00:00:00 GMT"),),
        304,
    ),
    then(
        "4.3.2",
        "If-Modified-Since of a later date",
        FIRST,
        (("If-Modified-Since", "Sat, 02 Jan 2021 00:00:00 GMT"),),
        304,
    ),
    then(
        "4.3.2",
        "If-Modified-Since of an earlier date",
        FIRST,
        (("If-Modified-Since", "Thu, 31 Dec 2020 00:00:00 GMT"),),
        200,
        Need.REQUIRED,
    ),
    then(
        "4.3.2",
        "If-Modified-Since that is no date",
        FIRST,
        (("If-Modified-Since", "lately"),),
        200,
        Need.REQUIRED,
    ),
    then(
        "9110 13.1.3",
        "If-None-Match goes before If-Modified-Since",
        FIRST,
        (("If-None-Match", '"v2"'), ("If-Modified-Since", "Sat, 02 Jan 2021 00:00:00 GMT")),
        200,
        Need.REQUIRED,
    ),
    then(
        "9110 15.4.5",
        "a 304 has the tag, and no body",
        FIRST,
        (("If-None-Match", '"v1"'),),
        304,
        Need.REQUIRED,
        "",
        has={"etag": '"v1"'},
    ),
    then(
        "9110 15.4.5",
        "a 304 has no fields of the content",
        FIRST,
        (("If-None-Match", '"v1"'),),
        304,
        O,
        has={"content-type": None},
    ),
    then(
        "9110 15.4.5",
        "a 304 has Cache-Control and Date",
        FIRST,
        (("If-None-Match", '"v1"'),),
        304,
        Need.REQUIRED,
        has={"cache-control": "max-age=60", "date": "~GMT"},
    ),
    then(
        "5.1", "a 304 from the store has Age", FIRST, (("If-None-Match", '"v1"'),), 304, O, has={"age": ">=0"}
    ),
    Case(
        "4.3.2",
        "a stale one is validated by its own tag, then the client's condition holds",
        (
            Step(cc("max-age=0", ("ETag", '"v1"'))),
            Step(
                cc("max-age=60", ("ETag", '"v1"'), status=304),
                (("If-None-Match", '"v1"'),),
                reaches=True,
                status=304,
            ),
            Step(reaches=False, status=200, same=0),
        ),
        O,
    ),
    Case(
        "4.3.2",
        "a stale one that changed answers a condition on the old one with the new",
        (
            Step(cc("max-age=0", ("ETag", '"v1"'))),
            Step(
                cc("max-age=60", ("ETag", '"v2"'), body="two"),
                (("If-None-Match", '"v1"'),),
                status=200,
                expect_body="two",
            ),
        ),
    ),
    Case(
        "4.3.2",
        "a client's 304 is not kept as an answer",
        (
            Step(
                Reply(status=304, fields=(("ETag", '"v1"'), ("Cache-Control", "max-age=60"))),
                (("If-None-Match", '"v1"'), ("Authorization", "x")),
                status=304,
            ),
            Step(cc("max-age=60"), reaches=True, status=200, expect_body="one"),
        ),
    ),
    Case(
        "9110 13.1.1",
        "If-Match goes to the archive",
        (FIRST, Step(cc("max-age=60"), (("If-Match", '"v1"'),), reaches=True, sends={"If-Match": '"v1"'})),
        O,
    ),
    Case(
        "9110 13.1.4",
        "If-Unmodified-Since goes to the archive",
        (
            FIRST,
            Step(cc("max-age=60"), (("If-Unmodified-Since", "Fri, 01 Jan 2021 00:00:00 GMT"),), reaches=True),
        ),
        O,
    ),
    ranged("the first bytes", "bytes=0-3", 206, "0123", "bytes 0-3/10"),
    ranged("from a byte on", "bytes=7-", 206, "789", "bytes 7-9/10"),
    ranged("the last bytes", "bytes=-2", 206, "89", "bytes 8-9/10"),
    ranged("more last bytes than there are", "bytes=-99", 206, "0123456789", "bytes 0-9/10"),
    ranged("an end past the end", "bytes=5-99", 206, "56789", "bytes 5-9/10"),
    ranged("one byte", "bytes=4-4", 206, "4", "bytes 4-4/10"),
    ranged("past the end", "bytes=10-", 416, None, "bytes */10"),
    ranged("no last bytes", "bytes=-0", 416, None, "bytes */10"),
    ranged("backwards is no range", "bytes=5-2", 200, "0123456789", None),
    ranged("another unit", "lines=0-1", 200, "0123456789", None),
    ranged("no number", "bytes=a-b", 200, "0123456789", None),
    ranged("nothing", "bytes=-", 200, "0123456789", None),
    ranged("a unit in other case", "Bytes=0-3", 206, "0123", "bytes 0-3/10"),
    ranged("a number that overflows", "bytes=0-99999999999999999999999", 206, "0123456789", "bytes 0-9/10"),
    then(
        "9110 13.1.5",
        "If-Range with the tag",
        FIRST,
        (("Range", "bytes=0-1"), ("If-Range", '"v1"')),
        206,
        O,
        "01",
    ),
    then(
        "9110 13.1.5",
        "If-Range with another tag",
        FIRST,
        (("Range", "bytes=0-1"), ("If-Range", '"v2"')),
        200,
        Need.REQUIRED,
        "0123456789",
    ),
    then(
        "9110 13.1.5",
        "If-Range with a weak tag",
        WEAK,
        (("Range", "bytes=0-1"), ("If-Range", 'W/"v1"')),
        200,
        Need.REQUIRED,
        "0123456789",
    ),
    then(
        "9110 13.1.5",
        "If-Range with the date",
        DATED,
        (("Range", "bytes=0-1"), ("If-Range", "Fri, 01 Jan 2021 00:00:00 GMT")),
        206,
        O,
        "01",
    ),
    then(
        "9110 13.1.5",
        "If-Range with another date",
        DATED,
        (("Range", "bytes=0-1"), ("If-Range", "Sat, 02 Jan 2021 00:00:00 GMT")),
        200,
        Need.REQUIRED,
        "0123456789",
    ),
    then(
        "9110 13.2.2",
        "a condition goes before a range",
        FIRST,
        (("If-None-Match", '"v1"'), ("Range", "bytes=0-1")),
        304,
    ),
    Case(
        "9110 14.2",
        "a range of what is not kept goes to the archive",
        (
            Step(
                Reply(206, (("Content-Range", "bytes 0-0/3"),), "o"),
                (("Range", "bytes=0-0"),),
                reaches=True,
                sends={"Range": "bytes=0-0"},
                status=206,
                expect_body="o",
            ),
        ),
        Need.REQUIRED,
    ),
    Case(
        "9110 14.2",
        "a whole answer to a range is passed on whole",
        (Step(cc("max-age=60"), (("Range", "bytes=0-0"),), reaches=True, status=200, expect_body="one"),),
    ),
)
