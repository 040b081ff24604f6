"""RFC 9111, 4.2.4 and RFC 5861: stale answers."""

from standins.conformance.case import Case, Need, Reply, Step, asked_again, cc

O = Need.OPTIONAL  # noqa: E741
OLD = ("Age", "65")  # with max-age=60: stale for 5 s
DOWN = Reply(status=503, body="down")


def on_error(
    section: str, name: str, control: str, stale: bool, status: int = 503, *more: tuple[str, str]
) -> Case:
    last = (
        Step(Reply(status=status, body="down"), more, reaches=True, expect_body="one", status=200)
        if stale
        else (Step(Reply(status=status, body="down"), more, reaches=True, status=status))
    )
    return Case(section, name, (Step(cc(control, OLD, ("ETag", '"1"'))), last), O if stale else Need.REQUIRED)


CASES: tuple[Case, ...] = (
    asked_again("4.2.4", "what is stale is not served unasked", cc("max-age=60", OLD, ("ETag", '"1"'))),
    Case(
        "5.2.1.2",
        "max-stale allows any staleness",
        (
            Step(cc("max-age=60", OLD, ("ETag", '"1"'))),
            Step(fields=(("Cache-Control", "max-stale"),), reaches=False, same=0),
        ),
        O,
    ),
    Case(
        "5.2.1.2",
        "max-stale with enough seconds",
        (
            Step(cc("max-age=60", OLD, ("ETag", '"1"'))),
            Step(fields=(("Cache-Control", "max-stale=100"),), reaches=False, same=0),
        ),
        O,
    ),
    Case(
        "5.2.1.2",
        "max-stale with too few seconds",
        (
            Step(cc("max-age=60", OLD, ("ETag", '"1"'))),
            Step(cc("max-age=60"), (("Cache-Control", "max-stale=2"),), reaches=True),
        ),
    ),
    Case(
        "5.2.1.2",
        "max-stale that is no number",
        (
            Step(cc("max-age=60", OLD, ("ETag", '"1"'))),
            Step(cc("max-age=60"), (("Cache-Control", "max-stale=some"),), reaches=True),
        ),
        O,
    ),
    *(
        Case(
            "4.2.4",
            f"max-stale does not override {control}",
            (
                Step(cc(f"max-age=60, {control}", OLD, ("ETag", '"1"'))),
                Step(cc("max-age=60"), (("Cache-Control", "max-stale=100"),), reaches=True),
            ),
        )
        for control in ("must-revalidate", "proxy-revalidate", "s-maxage=60", "no-cache")
    ),
    Case(
        "5861 3",
        "stale-while-revalidate serves at once and validates behind",
        (
            Step(cc("max-age=60, stale-while-revalidate=60", OLD, ("ETag", '"1"'))),
            Step(cc("max-age=60", ("ETag", '"1"'), status=304), same=0, awaits=2),
        ),
        O,
    ),
    Case(
        "5861 3",
        "what was validated behind is fresh",
        (
            Step(cc("max-age=60, stale-while-revalidate=60", OLD, body="old")),
            Step(cc("max-age=60", body="new"), expect_body="old", awaits=2),
            Step(cc("max-age=60", body="newer"), reaches=False, expect_body="new", pause_s=0.3),
        ),
        O,
    ),
    asked_again("5861 3", "past the window it is asked for", cc("max-age=60, stale-while-revalidate=3", OLD)),
    asked_again(
        "5861 3",
        "must-revalidate beside the window",
        cc("max-age=60, must-revalidate, stale-while-revalidate=60", OLD, ("ETag", '"1"')),
    ),
    asked_again(
        "5861 3",
        "a window that is no number",
        cc("max-age=60, stale-while-revalidate=long", OLD, ("ETag", '"1"')),
    ),
    *(
        on_error("5861 4", f"stale-if-error on {s}", "max-age=60, stale-if-error=600", True, s)
        for s in (500, 502, 503, 504)
    ),
    *(
        on_error("5861 4", f"without stale-if-error a {s} is passed on", "max-age=60", False, s)
        for s in (500, 502, 503, 504)
    ),
    on_error("5861 4", "past the window of stale-if-error", "max-age=60, stale-if-error=2", False),
    on_error(
        "5861 4",
        "must-revalidate beside stale-if-error",
        "max-age=60, must-revalidate, stale-if-error=600",
        False,
    ),
    on_error(
        "5861 4",
        "proxy-revalidate beside stale-if-error",
        "max-age=60, proxy-revalidate, stale-if-error=600",
        False,
    ),
    on_error(
        "5861 4",
        "stale-if-error in the request",
        "max-age=60",
        True,
        503,
        ("Cache-Control", "stale-if-error=600"),
    ),
    on_error(
        "5861 4",
        "stale-if-error in the request, too short",
        "max-age=60",
        False,
        503,
        ("Cache-Control", "stale-if-error=2"),
    ),
    Case(
        "5861 4",
        "a 404 is an answer, not an error",
        (
            Step(cc("max-age=60, stale-if-error=600", OLD, ("ETag", '"1"'))),
            Step(Reply(status=404, body="gone"), reaches=True, status=404),
        ),
        O,
    ),
    Case(
        "5.2.2.2",
        "must-revalidate while the archive is down is an error",
        (Step(cc("max-age=60, must-revalidate", OLD, ("ETag", '"1"'))), Step(DOWN, reaches=True, status=503)),
    ),
    Case(
        "4.2.4",
        "a stale answer tells its age",
        (
            Step(cc("max-age=60", OLD, ("ETag", '"1"'))),
            Step(fields=(("Cache-Control", "max-stale"),), reaches=False, has={"age": ">=65"}),
        ),
        O,
    ),
)
