"""RFC 8246 (immutable), RFC 9211 (Cache-Status) and RFC 9213 (targeted fields)."""

from standins.conformance.case import Case, Need, Step, asked_again, cc, kept

O = Need.OPTIONAL  # noqa: E741
TARGET = "CDN-Cache-Control"


def status(name: str, *steps: Step) -> Case:
    return Case("9211 2", name, steps, O)


ETAG = ("ETag", '"1"')
CASES: tuple[Case, ...] = (
    Case(
        "8246 2",
        "a reload of what is immutable and fresh",
        (Step(cc("max-age=600, immutable")), Step(fields=(("Cache-Control", "max-age=0"),), reaches=False)),
        O,
    ),
    Case(
        "8246 2",
        "no-cache of what is immutable",
        (
            Step(cc("max-age=600, immutable")),
            Step(cc("max-age=60"), (("Cache-Control", "no-cache"),), reaches=True),
        ),
    ),
    asked_again("8246 2", "immutable and no longer fresh", cc("max-age=60, immutable", ("Age", "61"), ETAG)),
    status("a miss", Step(cc("max-age=60"), has={"cache-status": "~fwd=uri-miss"})),
    status("a miss that is kept", Step(cc("max-age=60"), has={"cache-status": "~;stored"})),
    status("a hit", Step(cc("max-age=60")), Step(reaches=False, has={"cache-status": "~;hit"})),
    status(
        "a hit tells its ttl",
        Step(cc("max-age=600", ("Age", "100"))),
        Step(reaches=False, has={"cache-status": "~ttl=499"}),
    ),
    status(
        "a validation",
        Step(cc("max-age=0", ETAG)),
        Step(cc("max-age=60", ETAG, status=304), has={"cache-status": "~fwd=stale;fwd-status=304"}),
    ),
    status(
        "another variant",
        Step(cc("max-age=60", ("Vary", "Foo"))),
        Step(cc("max-age=60", ("Vary", "Foo")), (("Foo", "1"),), has={"cache-status": "~fwd=vary-miss"}),
    ),
    status(
        "a request that wants it new",
        Step(cc("max-age=60")),
        Step(cc("max-age=60"), (("Cache-Control", "no-cache"),), has={"cache-status": "~fwd=request"}),
    ),
    status(
        "an unsafe method",
        Step(cc("max-age=60"), method="PUT", body="r", has={"cache-status": "~fwd=method"}),
    ),
    status(
        "a stale answer has a ttl below 0",
        Step(cc("max-age=60", ("Age", "70"), ETAG)),
        Step(fields=(("Cache-Control", "max-stale"),), reaches=False, has={"cache-status": "~ttl=-"}),
    ),
    status(
        "what another cache said stays first",
        Step(cc("max-age=60", ("Cache-Status", "Inner; hit")), has={"cache-status": "~Inner; hit, "}),
    ),
    status(
        "an answer that is not kept does not say so",
        Step(cc("no-store"), has={"cache-status": "~fwd=uri-miss"}),
    ),
    # targeted fields
    kept("9213 2", "CDN-Cache-Control goes before Cache-Control", cc("no-store", (TARGET, "max-age=60"))),
    kept(
        "9213 2", "... and before Expires", cc("max-age=0", (TARGET, "max-age=60"), ("Expires", "{now-60}"))
    ),
    asked_again("9213 2", "CDN-Cache-Control: no-store", cc("max-age=60", (TARGET, "no-store"))),
    asked_again("9213 2", "CDN-Cache-Control: max-age=0", cc("max-age=60", (TARGET, "max-age=0"))),
    asked_again("9213 2", "CDN-Cache-Control: private", cc("max-age=60", (TARGET, "private, max-age=60"))),
    asked_again(
        "9213 2",
        "Expires does not count beside it",
        cc("max-age=60", (TARGET, "foo"), ("Expires", "{now+60}")),
    ),
    kept("9213 2.1", "one that can't be read is ignored", cc("max-age=60", (TARGET, "no-store, !"))),
    kept("9213 2.1", "an empty one is ignored", cc("max-age=60", (TARGET, ""))),
    asked_again(
        "9213 2.1", "a max-age that is no Integer is stale", cc("max-age=60", (TARGET, 'max-age="x"')), need=O
    ),
    kept("9213 2.1", "parameters of members do not count", cc("no-store", (TARGET, "max-age=60;a=b"))),
    kept("9213 2.1", "two lines are one dictionary", cc("no-store", (TARGET, "foo"), (TARGET, "max-age=60"))),
    kept("9213 2.1", "of a repeated key the last counts", cc("no-store", (TARGET, "max-age=0, max-age=60"))),
    asked_again("9213 2.1", "names in capitals can't be read", cc("no-store", (TARGET, "MAX-AGE=60"))),
    Case(
        "9213 3.1",
        "it is passed on",
        (
            Step(cc("max-age=60", (TARGET, "max-age=90"))),
            Step(reaches=False, has={TARGET.lower(): "max-age=90"}),
        ),
        O,
    ),
    kept(
        "9213 2",
        "a field for somebody else does not count",
        cc("max-age=60", ("Other-Cache-Control", "no-store")),
    ),
)
