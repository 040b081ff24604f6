"""RFC 9111, 5.2, 5.4 and 5.5: directives of requests and answers."""

from standins.conformance.case import Case, Need, Reply, Step, asked_again, cc, kept

O = Need.OPTIONAL  # noqa: E741
ASK = "Cache-Control"


def request(name: str, control: str, reaches: bool, reply: Reply, need: Need, section: str) -> Case:
    return Case(
        section, name, (Step(reply), Step(cc("max-age=60"), ((ASK, control),), reaches=reaches)), need
    )


FRESH = cc("max-age=600", ("ETag", '"1"'))
AGED = cc("max-age=600", ("ETag", '"1"'), ("Age", "100"))
CASES: tuple[Case, ...] = (
    # of requests
    request("max-age that it is older than", "max-age=50", True, AGED, O, "5.2.1.1"),
    request("max-age that it is younger than", "max-age=500", False, AGED, O, "5.2.1.1"),
    request("max-age=0", "max-age=0", True, FRESH, O, "5.2.1.1"),
    request("max-age that is no number", "max-age=x", True, FRESH, O, "5.2.1.1"),
    request("min-fresh that it has", "min-fresh=400", False, AGED, O, "5.2.1.3"),
    request("min-fresh that it has not", "min-fresh=550", True, AGED, O, "5.2.1.3"),
    request(
        "min-fresh of a life that is over", "min-fresh=1", True, cc("max-age=60", ("Age", "60")), O, "5.2.1.3"
    ),
    request("no-cache", "no-cache", True, FRESH, Need.REQUIRED, "5.2.1.4"),
    request("no-cache among others", "foo, No-Cache, bar=1", True, FRESH, Need.REQUIRED, "5.2.1.4"),
    request("an unknown directive", "foo=bar", False, FRESH, O, "5.2.3"),
    request("no-transform", "no-transform", False, FRESH, O, "5.2.1.6"),
    Case(
        "5.2.1.5",
        "no-store of a request keeps its answer out",
        (Step(cc("max-age=60"), ((ASK, "no-store"),)), Step(cc("max-age=60"), reaches=True)),
    ),
    Case(
        "5.2.1.5",
        "no-store of a request may be served what is kept",
        (Step(FRESH), Step(fields=((ASK, "no-store"),), reaches=False)),
        O,
    ),
    Case(
        "5.2.1.7",
        "only-if-cached without anything kept",
        (Step(cc("max-age=60"), ((ASK, "only-if-cached"),), reaches=False, status=504),),
        O,
    ),
    Case(
        "5.2.1.7",
        "only-if-cached of what is kept",
        (Step(FRESH), Step(fields=((ASK, "only-if-cached"),), reaches=False, status=200)),
        O,
    ),
    Case(
        "5.2.1.7",
        "only-if-cached of what is stale",
        (
            Step(cc("max-age=0", ("ETag", '"1"'))),
            Step(fields=((ASK, "only-if-cached"),), reaches=False, status=504),
        ),
        O,
    ),
    Case(
        "5.2.1.7",
        "only-if-cached and max-stale",
        (
            Step(cc("max-age=60", ("Age", "70"), ("ETag", '"1"'))),
            Step(fields=((ASK, "only-if-cached, max-stale"),), reaches=False, status=200),
        ),
        O,
    ),
    Case(
        "5.2.1.4",
        "no-cache validates by the stored tag",
        (
            Step(FRESH),
            Step(
                cc("max-age=600", ("ETag", '"1"'), status=304),
                ((ASK, "no-cache"),),
                reaches=True,
                sends={"If-None-Match": '"1"'},
                status=200,
                same=0,
            ),
        ),
        O,
    ),
    Case("5.4", "Pragma: no-cache", (Step(FRESH), Step(FRESH, (("Pragma", "no-cache"),), reaches=True)), O),
    Case(
        "5.4",
        "Pragma beside Cache-Control does not count",
        (Step(FRESH), Step(fields=(("Pragma", "no-cache"), (ASK, "max-age=600")), reaches=False)),
        O,
    ),
    Case(
        "5.4",
        "another Pragma does not count",
        (Step(FRESH), Step(fields=(("Pragma", "x"),), reaches=False)),
        O,
    ),
    kept("5.4", "Pragma of an answer does not count", cc("max-age=60", ("Pragma", "no-cache"))),
    # of answers
    asked_again("5.2.2.5", "no-store", cc("no-store")),
    asked_again("5.2.2.5", "no-store beside max-age", cc("max-age=60, no-store")),
    asked_again("5.2.2.5", "no-store beside public and s-maxage", cc("public, s-maxage=60, no-store")),
    asked_again("5.2.2.5", "no-store in a second line", cc("max-age=60", ("Cache-Control", "no-store"))),
    asked_again("5.2.2.5", "no-store beside Expires", cc("no-store", ("Expires", "{now+60}"))),
    asked_again("5.2.2.5", "no-store with an argument", cc("no-store=1, max-age=60"), need=O),
    asked_again("5.2.2.4", "no-cache beside max-age", cc("max-age=60, no-cache", ("ETag", '"1"'))),
    asked_again("5.2.2.4", "no-cache beside s-maxage", cc("s-maxage=60, no-cache", ("ETag", '"1"'))),
    asked_again(
        "5.2.2.4", "no-cache beside Expires", cc("no-cache", ("Expires", "{now+60}"), ("ETag", '"1"'))
    ),
    Case(
        "5.2.2.4",
        'no-cache="x-a" leaves that field out',
        (
            Step(cc('max-age=60, no-cache="x-a"', ("X-A", "1"), ("X-B", "1")), has={"x-a": "1"}),
            Step(reaches=False, has={"x-a": None, "x-b": "1"}),
        ),
        O,
    ),
    Case(
        "5.2.2.4",
        "no-cache=x-a as a token is read too",
        (Step(cc("max-age=60, no-cache=x-a", ("X-A", "1"))), Step(cc("max-age=60"), has={"x-a": None})),
        O,
    ),
    Case(
        "5.2.2.4",
        "a second request never gets the field unvalidated",
        (
            Step(cc('max-age=60, no-cache="X-A, x-b"', ("X-A", "1"), ("X-B", "1"))),
            Step(cc("max-age=60"), has={"x-a": None, "x-b": None}),
        ),
    ),
    asked_again("5.2.2.7", "private", cc("private, max-age=60")),
    asked_again("5.2.2.7", "private beside s-maxage", cc("private, s-maxage=60")),
    asked_again("5.2.2.7", "private beside public", cc("private, public, max-age=60")),
    asked_again("5.2.2.7", "Private in mixed case", cc("PRIVATE, max-age=60")),
    Case(
        "5.2.2.7",
        'private="x-a" leaves that field out',
        (
            Step(cc('max-age=60, private="x-a"', ("X-A", "1"), ("X-B", "1")), has={"x-a": "1"}),
            Step(reaches=False, has={"x-a": None, "x-b": "1"}),
        ),
        O,
    ),
    Case(
        "5.2.2.7",
        "a field that is private is not another's",
        (Step(cc('max-age=60, private="X-A"', ("X-A", "1"))), Step(cc("max-age=60"), has={"x-a": None})),
    ),
    asked_again("5.2.2.7", "private with an empty list binds all", cc('private="", max-age=60'), need=O),
    asked_again("5.2.2.7", "private with quotes that do not end", cc('max-age=60, private="x-a'), need=O),
    asked_again(
        "5.2", "nothing hides behind quotes that do not end", cc('max-age=60, foo="x, no-store'), need=O
    ),
    kept("5.2", "no-store inside a quoted argument is none", cc('max-age=60, foo="no-store"')),
    kept("5.2", "a comma inside a quoted argument", cc('foo="a, no-store, b", max-age=60')),
    kept("5.2", "an escaped quote inside an argument", cc('foo="a\\", no-store", max-age=60')),
    kept("5.2.3", "unknown directives are passed by", cc("foo, max-age=60, bar=1")),
    kept("5.2", "empty members", cc(", ,max-age=60,,")),
    kept("5.2", "white space", cc("  max-age=60  ,  foo ")),
    kept("5.2", "max-age in a second line", cc("foo", ("Cache-Control", "max-age=60"))),
    kept("5.2.2.6", "no-transform", cc("max-age=60, no-transform")),
    kept("5.2.2.9", "public", cc("public, max-age=60")),
    kept("5.2.2.2", "must-revalidate while it is fresh", cc("max-age=60, must-revalidate")),
    kept("5.2.2.8", "proxy-revalidate while it is fresh", cc("max-age=60, proxy-revalidate")),
    asked_again(
        "5.2.2.2", "must-revalidate once it is stale", cc("max-age=60, must-revalidate", ("Age", "61"))
    ),
    asked_again("5.2.2.10", "s-maxage once it is stale", cc("s-maxage=60", ("Age", "61"), ("ETag", '"1"'))),
    asked_again("5.2.2.10", "s-maxage that is no number", cc("max-age=60, s-maxage=x"), need=O),
    asked_again(
        "5.2.2.4",
        "no-cache is not lifted by max-stale",
        cc("no-cache, max-age=60", ("ETag", '"1"')),
        (),
        ((ASK, "max-stale=600"),),
    ),
    Case(
        "5.5",
        "Warning is passed on as any field",
        (Step(cc("max-age=60", ("Warning", '199 - "x"'))), Step(reaches=False, has={"warning": '199 - "x"'})),
        O,
    ),
)
