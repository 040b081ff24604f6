"""RFC 9111, 4.2: freshness and age."""

from standins.conformance.case import Case, Need, Reply, Step, asked_again, cc, kept

O = Need.OPTIONAL  # noqa: E741


def expires(value: str, *more: tuple[str, str]) -> Reply:
    return Reply(fields=(("Expires", value), *more))


CASES: tuple[Case, ...] = (
    kept("4.2.1", "max-age", cc("max-age=60")),
    kept("4.2.1", "s-maxage", cc("s-maxage=60")),
    kept("4.2.1", "Expires in the future", expires("{now+60}")),
    kept("4.2.1", "Expires in the future of an odd Date", expires("{now+3600}", ("Date", "{now}"))),
    asked_again("4.2.1", "max-age=0", cc("max-age=0")),
    asked_again("4.2.1", "s-maxage=0 overrides max-age", cc("max-age=60, s-maxage=0")),
    kept("4.2.1", "s-maxage overrides max-age=0", cc("max-age=0, s-maxage=60")),
    kept("4.2.1", "s-maxage overrides Expires", cc("s-maxage=60", ("Expires", "{now-60}"))),
    kept("4.2.1", "max-age overrides Expires", cc("max-age=60", ("Expires", "{now-60}"))),
    asked_again("4.2.1", "max-age=0 overrides Expires", cc("max-age=0", ("Expires", "{now+60}"))),
    asked_again("4.2.1", "Expires that is Date", expires("{now}", ("Date", "{now}"))),
    asked_again("4.2.1", "Expires before Date", expires("{now-60}")),
    asked_again(
        "4.2.1", "Expires counts from Date", expires("{now-10}", ("Date", "{now-3600}"), ("Age", "3600"))
    ),
    *(
        asked_again("5.3", f"Expires: {v!r} is in the past", expires(v))
        for v in (
            "0",
            "-1",
            "soon",
            "Thu, 01 Jan 1970 00:00:00 GMT",
            "Fri, 32 Dec 2100 00:00:00 GMT",
            "Fri, 01 Jan 2100 25:00:00 GMT",
            "2100-01-01T00:00:00Z",
            "",
        )
    ),
    *(
        asked_again(
            "4.2", f"Expires in the zone {z} is invalid", expires(f"Fri, 01 Jan 2100 00:00:00 {z}"), need=O
        )
        for z in ("EST", "+0100", "PST")
    ),
    *(
        kept("4.2", f"Expires as {note}", expires(v))
        for note, v in (
            ("IMF-fixdate", "Fri, 01 Jan 2100 00:00:00 GMT"),
            ("asctime", "Fri Jan  1 00:00:00 2100"),
            ("in odd case", "fri, 01 jan 2100 00:00:00 gmt"),
        )
    ),
    kept("4.2", "Expires as RFC 850", expires("Tuesday, 01-Jan-30 00:00:00 GMT")),
    asked_again("4.2.1", "two Expires that differ", expires("{now+60}", ("Expires", "{now+90}")), need=O),
    asked_again("4.2.1", "max-age twice, differing", cc("max-age=60, max-age=0"), need=O),
    asked_again("4.2.1", "max-age twice, differing the other way", cc("max-age=0, max-age=60"), need=O),
    kept("4.2.1", "max-age twice, the same", cc("max-age=60, max-age=60")),
    *(
        asked_again("4.2.1", f"max-age={v} is no number, and stale", cc(f"max-age={v}"), need=O)
        for v in ("abc", "-1", "1.5", "60s", '"', "", "6 0", "0x3c", "+60")
    ),
    kept("5.2", 'max-age="60" in quotes', cc('max-age="60"')),
    kept("5.2.2.1", "max-age=0060", cc("max-age=0060")),
    *(
        kept("1.2.2", f"max-age={v} counts as very long", cc(f"max-age={v}"))
        for v in ("2147483648", "4294967296", "9223372036854775808", "99999999999999999999999999999")
    ),
    kept("5.2", "names of directives in mixed case", cc("MaX-aGe=60")),
    asked_again("5.2", "No-Store in mixed case", cc("No-StOrE, max-age=60")),
    # Age
    asked_again("4.2.3", "Age as old as max-age", cc("max-age=60", ("Age", "60"))),
    asked_again("4.2.3", "Age older than max-age", cc("max-age=60", ("Age", "600"))),
    kept("4.2.3", "Age younger than max-age", cc("max-age=600", ("Age", "60"))),
    asked_again("4.2.3", "Age older than s-maxage", cc("max-age=900, s-maxage=60", ("Age", "61"))),
    asked_again("4.2.3", "Age past Expires", expires("{now+60}", ("Age", "61"))),
    asked_again("4.2.3", "Age that overflows is very old", cc("max-age=60", ("Age", "99999999999999999999"))),
    asked_again("1.2.2", "Age of 2147483648", cc("max-age=60", ("Age", "2147483648"))),
    kept("5.1", "Age that is no number is ignored", cc("max-age=60", ("Age", "old"))),
    kept("5.1", "Age below 0 is ignored", cc("max-age=60", ("Age", "-5"))),
    kept("5.1", "Age with a fraction is ignored", cc("max-age=60", ("Age", "70.5"))),
    asked_again(
        "5.1", "of two Age lines the first counts", cc("max-age=60", ("Age", "600"), ("Age", "0")), need=O
    ),
    asked_again("4.2.3", "a Date that is old is an age", cc("max-age=60", ("Date", "{now-120}"))),
    kept("4.2.3", "a Date not so old", cc("max-age=600", ("Date", "{now-120}"))),
    kept("4.2.3", "a Date in the future is no age", cc("max-age=60", ("Date", "{now+3600}"))),
    asked_again(
        "4.2.3", "the greater of Age and Date counts", cc("max-age=60", ("Date", "{now-120}"), ("Age", "1"))
    ),
    asked_again("4.2.3", "... also the other way", cc("max-age=60", ("Date", "{now-1}"), ("Age", "120"))),
    kept("4.2.3", "a Date that is none counts as now", cc("max-age=60", ("Date", "yesterday")), need=O),
    Case(
        "5.1",
        "what is served from the store has Age",
        (Step(cc("max-age=60")), Step(reaches=False, has={"age": "<=60"})),
        Need.REQUIRED,
    ),
    Case(
        "4.2.3",
        "Age adds up",
        (Step(cc("max-age=6000", ("Age", "100"))), Step(reaches=False, has={"age": ">=100"})),
    ),
    Case(
        "4.2.3",
        "Age follows an old Date",
        (Step(cc("max-age=6000", ("Date", "{now-100}"))), Step(reaches=False, has={"age": ">=99"})),
    ),
    Case(
        "4.2.3",
        "Age grows while it is kept",
        (Step(cc("max-age=60", ("Age", "7"))), Step(reaches=False, pause_s=1.05, has={"age": ">=8"})),
    ),
    Case(
        "4.2",
        "what was fresh turns stale",
        (Step(cc("max-age=1")), Step(cc("max-age=1"), pause_s=1.05, reaches=True)),
    ),
    # heuristics
    kept(
        "4.2.2", "a tenth of the time since Last-Modified", Reply(fields=(("Last-Modified", "{now-86400}"),))
    ),
    asked_again(
        "4.2.2", "a Last-Modified of now gives no life", Reply(fields=(("Last-Modified", "{now}"),)), need=O
    ),
    asked_again(
        "4.2.2",
        "a Last-Modified in the future gives no life",
        Reply(fields=(("Last-Modified", "{now+3600}"),)),
        need=O,
    ),
    asked_again("4.2.2", "no heuristics beside max-age", cc("max-age=0", ("Last-Modified", "{now-86400}"))),
    asked_again(
        "4.2.2", "no heuristics beside Expires", expires("{now-1}", ("Last-Modified", "{now-86400}"))
    ),
    asked_again("4.2.2", "nothing at all to go by", Reply(), need=O),
    kept(
        "4.2.2",
        "public allows heuristics for any status",
        cc("public", ("Last-Modified", "{now-86400}"), status=302),
    ),
)
