"""Tests of links over TLS: each end needs a certificate of the sites' authority with its site's name."""

from __future__ import annotations

from pathlib import Path

import pytest
import trustme

from magpiefront.gateway.service import InvalidTls, tls_contexts
from magpiefront.gateway.settings import Tls
from tests.gateway.sites import run, sites, until


def issued(folder: Path, ca: trustme.CA, name: str, trusted: trustme.CA | None = None) -> Tls:
    cert = ca.issue_cert(name)
    paths = {n: folder / f"{name}-{n}.pem" for n in ("certificate", "key", "ca")}
    cert.cert_chain_pems[0].write_to_path(paths["certificate"])
    cert.private_key_pem.write_to_path(paths["key"])
    (trusted or ca).cert_pem.write_to_path(paths["ca"])
    return Tls(str(paths["certificate"]), str(paths["key"]), str(paths["ca"]))


def test_requests_cross(tmp_path: Path) -> None:
    ca = trustme.CA()
    tls = {name: issued(tmp_path, ca, name) for name in ("west", "east")}

    async def main() -> None:
        async with sites(tls=tls) as s:
            for kind in ("level-read", "field-report", "once"):
                a = await s.get("west", kind)
                assert a.status == 200 and a.answers[0][2].startswith(b"east")
            long = await s.get("west", key="e-1~500000")
            assert long.status == 200 and len(long.answers[0][2]) == 500_000
            s.relays["west"].break_all()
            a = await s.get("west", "level-read")
            assert a.status == 200
            await until(lambda: s.west.up, "the link's return")

    run(main())


@pytest.mark.parametrize("wrong", ["another authority", "another name", "no trust"])
def test_a_peer_without_a_valid_certificate_is_not_used(wrong: str, tmp_path: Path) -> None:
    ca, other = trustme.CA(), trustme.CA()
    west = issued(tmp_path, ca, "west")
    if wrong == "another authority":
        east = issued(tmp_path, other, "east", trusted=ca)
    elif wrong == "another name":
        east = issued(tmp_path, ca, "north")
    else:
        east = issued(tmp_path, ca, "east", trusted=other)

    async def main() -> None:
        async with sites(tls={"west": west, "east": east}, wait=False) as s:
            link = s.west.gateway.stage.links["east"]
            await until(lambda: link.slots[0].backoff.failures > 3, "tries")
            assert not link.usable_connections() and (await s.get("west", "once")).status == 503
            assert (await s.get("west")).status == 200  # served at its home site
            back = s.east.gateway.stage.links["west"]
            await until(lambda: back.slots[0].backoff.failures > 3 and not back.usable_connections(), "tries")
            assert s.west.count("in_taken") == s.east.count("in_taken") == 0

    run(main())


def test_certificates_that_cannot_be_used(tmp_path: Path) -> None:
    good = issued(tmp_path, trustme.CA(), "west")
    other = issued(tmp_path, trustme.CA(), "east")
    noise = tmp_path / "noise.pem"
    noise.write_text("noise")
    for tls, says in (
        (Tls(str(tmp_path / "none"), good.key, good.ca), "certificate: "),
        (Tls(good.certificate, other.key, good.ca), "certificate: "),
        (Tls(str(noise), good.key, good.ca), "certificate: "),
        (Tls(good.certificate, good.key, str(noise)), "ca: "),
        (Tls(good.certificate, good.key, str(tmp_path / "none")), "ca: "),
    ):
        with pytest.raises(InvalidTls) as e:
            tls_contexts(tls)
        assert str(e.value).startswith(says) and "\n" not in str(e.value)
    assert tls_contexts(None) == (None, None) and all(tls_contexts(good))
