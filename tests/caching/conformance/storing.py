"""RFC 9111, 3: what may be kept."""

from standins.conformance.case import Case, Need, Reply, Step, asked_again, cc, kept

UNDERSTOOD = (200, 203, 300, 301, 302, 303, 307, 308, 404, 405, 410, 414, 501)
HEURISTIC = (200, 203, 300, 301, 308, 404, 405, 410, 414, 501)
OTHERS = (302, 303, 307, 400, 401, 403, 406, 409, 411, 412, 413, 415, 422, 429)
OLD = (("Last-Modified", "{now-864000}"),)
CUT_LENGTH = Reply(fields=(("Cache-Control", "max-age=60"),), body="x" * 100, cut=50)
CUT_CHUNKED = Reply(fields=(("Cache-Control", "max-age=60"),), body="x" * 100, chunked=True, cut=50)

CASES: tuple[Case, ...] = (
    *(kept("3", f"a {s} with max-age is kept", cc("max-age=60", status=s)) for s in UNDERSTOOD),
    *(
        asked_again("3", f"a {s} with no-store is not kept", cc("no-store", *OLD, status=s))
        for s in UNDERSTOOD
    ),
    *(
        asked_again("3", f"a {s} that says nothing of caching is not kept", Reply(status=s, fields=OLD))
        for s in OTHERS
    ),
    *(kept("4.2.2", f"a {s} with an old Last-Modified", Reply(status=s, fields=OLD)) for s in HEURISTIC),
    *(
        kept("3", f"a {s} with Expires", Reply(status=s, fields=(("Expires", "{now+60}"),)))
        for s in (200, 302, 404)
    ),
    kept("3", "an unknown status with max-age", cc("max-age=60", status=499)),
    asked_again(
        "5.2.2.3", "must-understand and a status nobody knows", cc("max-age=60, must-understand", status=499)
    ),
    kept(
        "5.2.2.3",
        "must-understand lifts no-store for a known status",
        cc("max-age=60, must-understand, no-store"),
    ),
    Case(
        "3",
        "an answer to POST is not given to GET",
        (Step(cc("max-age=60"), method="POST", body="q", reaches=True), Step(cc("max-age=60"), reaches=True)),
    ),
    Case(
        "3",
        "an answer to PUT is not given to GET",
        (Step(cc("max-age=60"), method="PUT", body="q", reaches=True), Step(cc("max-age=60"), reaches=True)),
    ),
    Case(
        "3",
        "an answer to HEAD is not given to GET",
        (Step(cc("max-age=60"), method="HEAD"), Step(cc("max-age=60"), reaches=True, expect_body="one")),
    ),
    Case(
        "3.3",
        "an answer cut short by its length is not served as whole",
        (Step(CUT_LENGTH, broken=True), Step(cc("max-age=60", body="y" * 100), expect_body="y" * 100)),
    ),
    Case(
        "3.3",
        "an answer cut short in its chunks is not served as whole",
        (Step(CUT_CHUNKED, broken=True), Step(cc("max-age=60", body="y" * 100), expect_body="y" * 100)),
    ),
    Case(
        "3.3",
        "a long answer cut short is not served as whole",
        (
            Step(cc("max-age=60", body="x" * 200_000, cut=150_000), broken=True),
            Step(cc("max-age=60", body="y" * 100), expect_body="y" * 100),
        ),
    ),
    Case(
        "3.4",
        "a part is not served as the whole",
        (
            Step(
                Reply(206, (("Cache-Control", "max-age=60"), ("Content-Range", "bytes 0-1/3")), "on"),
                (("Range", "bytes=0-1"),),
                status=206,
            ),
            Step(cc("max-age=60"), reaches=True, status=200, expect_body="one"),
        ),
    ),
    Case(
        "3.4",
        "a part is not served for another range",
        (
            Step(
                Reply(206, (("Cache-Control", "max-age=60"), ("Content-Range", "bytes 0-1/3")), "on"),
                (("Range", "bytes=0-1"),),
                status=206,
            ),
            Step(
                Reply(206, (("Content-Range", "bytes 1-2/3"),), "ne"),
                (("Range", "bytes=1-2"),),
                reaches=True,
                expect_body="ne",
            ),
        ),
    ),
    asked_again(
        "3.5", "an answer to Authorization with max-age", cc("max-age=60"), (("Authorization", "Basic a"),)
    ),
    asked_again(
        "3.5",
        "an answer to Authorization is not another's",
        cc("max-age=60"),
        (("Authorization", "Basic a"),),
        (("Authorization", "Basic b"),),
    ),
    asked_again(
        "3.5",
        "an answer to Authorization with Expires",
        Reply(fields=(("Expires", "{now+60}"),)),
        (("Authorization", "Basic a"),),
    ),
    asked_again(
        "3.5",
        "an answer to Authorization with a heuristic life",
        Reply(fields=OLD),
        (("Authorization", "Basic a"),),
    ),
    kept(
        "3.5",
        "an answer to Authorization with public",
        cc("max-age=60, public"),
        (("Authorization", "Basic a"),),
    ),
    kept(
        "3.5", "an answer to Authorization with s-maxage", cc("s-maxage=60"), (("Authorization", "Basic a"),)
    ),
    kept(
        "3.5",
        "an answer to Authorization with must-revalidate",
        cc("max-age=60, must-revalidate"),
        (("Authorization", "Basic a"),),
    ),
    kept(
        "3.5",
        "what is kept serves requests with Authorization",
        cc("max-age=60"),
        (),
        (("Authorization", "Basic a"),),
    ),
    asked_again(
        "7.3",
        "a cookie of one is not set for another",
        cc("max-age=60", ("Set-Cookie", "a=1")),
        need=Need.OPTIONAL,
    ),
    asked_again(
        "7.3",
        "an answer to a cookie is not another's",
        cc("max-age=60"),
        (("Cookie", "id=a"),),
        (("Cookie", "id=b"),),
        need=Need.OPTIONAL,
    ),
    Case(
        "3.1",
        "fields are kept in their order and number",
        (
            Step(cc("max-age=60", ("X-Note", "a"), ("X-Note", "b"), ("X-Unknown", "u"))),
            Step(reaches=False, has={"x-note": "a, b", "x-unknown": "u"}),
        ),
    ),
    *(
        Case(
            "3.1",
            f"{name} is not kept",
            (Step(cc("max-age=60", (name, value))), Step(reaches=False, has={name.lower(): None})),
            Need.REQUIRED,
        )
        for name, value in (
            ("Keep-Alive", "timeout=5"),
            ("Proxy-Connection", "x"),
            ("TE", "trailers"),
            ("Proxy-Authenticate", "Basic"),
            ("Proxy-Authentication-Info", "a=b"),
            ("Upgrade", "h9"),
            ("Proxy-Authorization", "x"),
            ("Trailer", "x-sum"),
        )
    ),
    Case(
        "3.1",
        "what Connection names is not kept",
        (
            Step(cc("max-age=60", ("Connection", "X-Hop"), ("X-Hop", "1"))),
            Step(reaches=False, has={"x-hop": None}),
        ),
    ),
    Case(
        "3.1",
        "Connection in mixed case and with more names",
        (
            Step(cc("max-age=60", ("cOnNeCtIoN", "x-a , X-B"), ("X-A", "1"), ("x-b", "1"), ("X-C", "1"))),
            Step(reaches=False, has={"x-a": None, "x-b": None, "x-c": "1"}),
        ),
    ),
    asked_again(
        "3", "Connection can not hide Cache-Control", cc("no-store", ("Connection", "cache-control"))
    ),
)
