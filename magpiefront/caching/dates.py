"""Parses and formats HTTP dates (RFC 9110, 5.6.7) as whole seconds of Unix time. No clock."""

from __future__ import annotations

import calendar
import re
from functools import lru_cache
from time import gmtime

MONTH_NAMES = (b"Jan", b"Feb", b"Mar", b"Apr", b"May", b"Jun", b"Jul", b"Aug", b"Sep", b"Oct", b"Nov", b"Dec")
MONTH_NUMBERS = {name.lower(): number for number, name in enumerate(MONTH_NAMES, 1)}
DAY_NAMES = (b"Mon", b"Tue", b"Wed", b"Thu", b"Fri", b"Sat", b"Sun")
_SHORT, _LONG = rb"(?:mon|tue|wed|thu|fri|sat|sun)", rb"(?:mon|tues|wednes|thurs|fri|satur|sun)day"
_TIME = rb"(\d\d):(\d\d):(\d\d)"
# GMT only: a cache treats a date in another time zone as invalid (RFC 9111, 4.2).
IMF = re.compile(_SHORT + rb", (\d\d) ([a-z]{3}) (\d{4}) " + _TIME + rb" gmt")
RFC850 = re.compile(_LONG + rb", (\d\d)-([a-z]{3})-(\d\d) " + _TIME + rb" gmt")
ASCTIME = re.compile(_SHORT + rb" ([a-z]{3}) ([ \d]\d) " + _TIME + rb" (\d{4})")
FIFTY_YEARS_S = 50 * 365 * 86_400


def parse(value: bytes, now_s: int = 0) -> int | None:
    """Returns the Unix time of a date in any of the three formats, or None if it is not valid.

    Case is ignored (RFC 9111, 4.2). `now_s` is used only for the two-digit years of RFC 850 dates, which are
    read as at most 50 years ahead.
    """
    found = _parse_four_digit_year(value)
    if found is not None:
        return found
    match = RFC850.fullmatch(value.strip(b" \t").lower())
    if match is None:
        return None
    day, month, year, *clock = match.groups()
    century = gmtime(now_s).tm_year // 100 * 100
    found = _seconds(century + int(year), month, int(day), clock)
    if found is not None and found > now_s + FIFTY_YEARS_S:
        found = _seconds(century - 100 + int(year), month, int(day), clock)
    return found


@lru_cache(4096)
def _parse_four_digit_year(value: bytes) -> int | None:
    value = value.strip(b" \t").lower()
    if match := IMF.fullmatch(value):
        day, month, year, *clock = match.groups()
        return _seconds(int(year), month, int(day), clock)
    if match := ASCTIME.fullmatch(value):
        month, day, hour, minute, second, year = match.groups()
        return _seconds(int(year), month, int(day), [hour, minute, second])
    return None


def _seconds(year: int, month: bytes, day: int, clock: list[bytes]) -> int | None:
    number = MONTH_NUMBERS.get(month)
    hour, minute, second = (int(c) for c in clock)
    if number is None or hour > 23 or minute > 59 or second > 60 or year < 1:
        return None
    if not 1 <= day <= calendar.monthrange(year, number)[1]:
        return None
    return calendar.timegm((year, number, day, hour, minute, second))


@lru_cache(64)
def render(seconds: int) -> bytes:
    """Formats a date as IMF-fixdate, the only format that is sent."""
    t = gmtime(seconds)
    return b"%b, %02d %b %04d %02d:%02d:%02d GMT" % (
        DAY_NAMES[t.tm_wday], t.tm_mday, MONTH_NAMES[t.tm_mon - 1], t.tm_year, t.tm_hour, t.tm_min, t.tm_sec,
    )  # fmt: skip
