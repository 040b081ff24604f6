"""The operator's file: what is wrong with it is one line that names file, table and key."""

from __future__ import annotations

import re
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from magpiefront.caching.settings import CachingSettings, DiskSettings
from magpiefront.group.settings import GroupSettings
from magpiefront.maintenance.plan import Limits as PlanLimits
from magpiefront.maintenance.plan import Machine, Plan
from magpiefront.operator import caching, group, maintenance, record
from magpiefront.operator import file as schema
from magpiefront.operator.compose import check
from magpiefront.operator.fields import BadFile
from magpiefront.operator.file import load
from magpiefront.operator.tls import TlsTable
from magpiefront.record.settings import RecordSettings, SqliteSettings

EXAMPLE = Path(__file__).resolve().parents[2] / "deploy" / "gateway.toml"
GOOD = """
[site]
name = "west"
[gateway]
listen = "127.0.0.1:7443"
[gateway.sites.west]
[gateway.sites.east]
peers = ["127.0.0.1:7543"]
[gateway.tls]
plain = true
"""


def text(*changes: tuple[str, str], more: str = "") -> str:
    given = GOOD
    for before, after in changes:
        assert before in given
        given = given.replace(before, after)
    return given + more


PLAIN = "plain = true"
CERTS = 'certificate = "a.pem"\nkey = "a.key"\nca = "ca.pem"'


def assert_one_line(path: Path, given: str, says: str) -> None:
    path.write_text(given)
    with pytest.raises(BadFile) as e:
        check(path)
    line = str(e.value)
    assert says in line and line.startswith(f"{path}: ") and "\n" not in line


@pytest.mark.parametrize(
    ("given", "says"),
    [
        ("site = [", "(at end of document)"),
        ("", "[site] name: is missing"),
        (text(('name = "west"', "")), "[site] name: is missing"),
        (text(('name = "west"', 'name = "West!"')), "[site] name: "),
        (text(('name = "west"', 'name = "west"\ncolour = "red"')), "[site] colour: unknown key"),
        (text(more="[cache]"), "[cache]: unknown table"),
        (text(more="[gateway.conections]"), "[gateway] conections: unknown key"),
        (text(more="[gateway.link]\nconections = 2"), "[gateway.link] conections: unknown key"),
        (text(more='[gateway.link]\nconnections = "2"'), "[gateway.link] connections: expected `int`"),
        (text(more="[gateway.link]\nconnections = 0"), "[gateway.link] connections: expected `int` >= 1"),
        (
            text(more="[gateway.link]\nping_interval = 250"),
            "[gateway.link] ping_interval: 250 is no duration",
        ),
        (
            text(more='[gateway.link]\nping_interval = "2h"'),
            "[gateway.link] ping_interval: '2h' is no duration",
        ),
        (text(more='[gateway.link]\nping_interval = "0ms"'), "ping_interval: must be at least 1ms"),
        (
            text(more='[gateway.link]\nping_interval = "900ms"'),
            "[gateway.link] ping_timeout: must be at least twice",
        ),
        (text(more='[gateway.link]\nbackoff = "5s"'), "[gateway.link] most_backoff: must not be below"),
        (text(more='[gateway.keyed]\nmost_bytes = "16MB"'), "[gateway.keyed] most_bytes: '16MB' is no size"),
        (text(more="[gateway.credits]\ntenant_share = 1.5"), "[gateway.credits] tenant_share: "),
        (
            text(more="[gateway.credits.reserved]\na = 0.5\nb = 0.5"),
            "[gateway.credits] reserved: must leave a part",
        ),
        (text(more="[gateway.retry]\nmost_tries = 99"), "[gateway.retry] most_tries: "),
        (text(("listen = ", "heard = ")), "[gateway] heard: unknown key"),
        (text(('listen = "127.0.0.1:7443"', "")), "[gateway] listen: is missing"),
        (text(('"127.0.0.1:7443"', '"localhost:7443"')), "[gateway] listen: 'localhost:7443' is no address"),
        (text(('"127.0.0.1:7443"', '"127.0.0.1"')), "[gateway] listen: '127.0.0.1' is no address"),
        (text(('"127.0.0.1:7543"', '"127.0.0.1:99999"')), "[gateway.sites.east] peers"),
        (
            text(("[gateway.sites.west]", '[gateway.sites.west]\npeers = ["127.0.0.1:1"]')),
            "[gateway.sites.west] peers: this",
        ),
        (
            text(("[gateway.sites.east]", "[gateway.sites.west]")),
            "Cannot declare",
        ),  # a site that names itself twice
        (text(("[gateway.sites.west]", "[gateway.sites.north]")), "[gateway.sites.north] peers: is missing"),
        (
            text(("[gateway.sites.west]", '[gateway.sites.north]\npeers = ["127.0.0.1:9"]')),
            "own site is missing",
        ),
        (
            text(
                (
                    "[gateway.sites.east]",
                    '[gateway.sites.north]\npeers = ["127.0.0.1:7543"]\n[gateway.sites.east]',
                )
            ),
            "127.0.0.1:7543 is a peer of north too",
        ),
        (
            text(('peers = ["127.0.0.1:7543"]', 'peers = ["127.0.0.1:7543", "127.0.0.1:7543"]')),
            "names an address twice",
        ),
        (
            text(
                ("[gateway.sites.west]", '[gateway.sites.west]\nprefixes = ["a"]'),
                ("[gateway.sites.east]", '[gateway.sites.east]\nprefixes = ["a"]'),
            ),
            "'a' belongs to west already",
        ),
        (text(("[gateway.sites.west]", '[gateway.sites.west]\nprefixes = [""]')), "an empty one"),
        (
            text(
                ("[gateway.sites.west]", "[gateway.sites.west]\nweight = 0"),
                ("[gateway.sites.east]", "[gateway.sites.east]\nweight = 0"),
            ),
            "needs a weight above 0",
        ),
        (text((PLAIN, "")), "[gateway.tls] certificate: is missing"),
        (text((PLAIN, CERTS.partition("\n")[0])), "[gateway.tls] key: is missing"),
        (text((PLAIN, PLAIN + "\n" + CERTS)), "[gateway.tls] plain: excludes certificate, key, ca"),
        (text((PLAIN, CERTS)), "[gateway.tls] certificate: "),
    ],
)
def test_what_is_wrong_is_one_line(given: str, says: str, tmp_path: Path) -> None:
    assert_one_line(tmp_path / "gateway.toml", given, says)


def test_a_file_that_is_not_there_or_no_text(tmp_path: Path) -> None:
    with pytest.raises(BadFile, match="No such file"):
        load(tmp_path / "none.toml")
    (tmp_path / "bad.toml").write_bytes(b"\xff\xfe")
    with pytest.raises(BadFile, match="not UTF-8"):
        load(tmp_path / "bad.toml")


def test_a_site_without_a_gateway(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text('[site]\nname = "west"\n')
    assert load(path).gateway is None


def test_the_example_shows_every_key_with_its_default(tmp_path: Path) -> None:
    given = EXAMPLE.read_text()
    assert check(EXAMPLE).gateway is not None
    tables: dict[str, type[msgspec.Struct]] = {
        "site": schema.SiteTable,
        "gateway": schema.GatewayTable,
        "gateway.tls": TlsTable,
        "gateway.link": schema.LinkTable,
        "gateway.credits": schema.CreditTable,
        "gateway.retry": schema.RetryTable,
        "gateway.keyed": schema.KeyedTable,
        "gateway.sites.east": schema.SiteEntry,
        "caching": caching.CachingTable,
        "caching.stale": caching.StaleTable,
        "caching.clients": caching.ClientsTable,
        "caching.disk": caching.DiskTable,
        "group": group.GroupTable,
        "group.times": group.TimesTable,
        "group.limits": group.LimitsTable,
        "record": record.RecordTable,
        "record.sqlite": record.SqliteTable,
        "record.postgres": record.PostgresTable,
        "record.group": record.GroupStoreTable,
        "maintenance": maintenance.MaintenanceTable,
        "maintenance.limits": maintenance.LimitsTable,
        "maintenance.machines.rack1-a": maintenance.MachineTable,
    }
    given = re.sub(r"^#\[", "[", given, flags=re.M)
    for name, kind in tables.items():
        part = given.partition(f"\n[{name}]\n")[2].partition("\n[")[0]
        for f in msgspec.structs.fields(kind):
            if f.name not in (
                "stale",
                "sqlite",
                "postgres",
                "clients",
                "disk",
                "sites",
                "tls",
                "link",
                "credits",
                "retry",
                "keyed",
                "reserved",
                "most",
                "members",
                "times",
                "limits",
                "group",
                "machines",
            ):
                assert re.search(rf"^#?{f.name} = .*#|^#?{f.name} = ", part, re.M), f"{name}.{f.name}"
    # What is commented out is the default: put in, it changes nothing.
    path = tmp_path / "whole.toml"
    whole_text = given.partition("# ... or in its place:")[0]  # two stores exclude each other
    keep = [line for line in whole_text.splitlines() if not re.match(r"#(certificate|key|ca) ", line)]
    path.write_text("\n".join(re.sub(r"^#(?=[a-z_]+ = )", "", line) for line in keep))
    whole = load(path)
    assert whole.gateway == load(EXAMPLE).gateway and whole.caching is not None
    assert whole.caching.disk == DiskSettings(tmp_path / "cache.sqlite")
    assert replace(whole.caching, disk=None) == load(EXAMPLE).caching
    assert whole.record == replace(
        RecordSettings(SqliteSettings(tmp_path / "record.sqlite")), classes=frozenset({"field-report"})
    )
    members = "[group]" + given.partition("\n[group]")[2]
    path.write_text('[site]\nname = "west"\n' + re.sub(r"^#(?=[a-z_0-9-]+ = )", "", members, flags=re.M))
    found = load(path).maintenance
    assert found is not None and found.limits == PlanLimits() and found.path == tmp_path / "machines"
    assert found.machines["rack1-a"] == Machine("rack1-a", ("west-0", "west-1"), ("west-1",), "rack1")
    tables_ = load(path).group
    assert tables_ is not None and tables_.settings == GroupSettings(
        "west", "west-1", ("127.0.0.1", 7643), tmp_path / "group.sqlite",
        {f"west-{n}": ("127.0.0.1", 7642 + n) for n in (1, 2, 3)}, frozenset({"west-1", "west-2", "west-3"}),
    )  # fmt: skip


CACHING = """
[site]
name = "west"
[caching]
"""


@pytest.mark.parametrize(
    ("given", "says"),
    [
        ('most_bytes = "10KiB"\nmost_object = "1KiB"', "[caching] most_bytes: must be at least 64KiB"),
        ('most_object = "17MiB"', "[caching] most_object: must be a quarter of most_bytes at most"),
        ('most_object = "1MB"', "[caching] most_object: '1MB' is no size"),
        ("most_variants = 0", "[caching] most_variants: expected `int` >= 1"),
        ("heuristic_fraction = 2.0", "[caching] heuristic_fraction: "),
        ('heuristic_most = "1500ms"', "[caching] heuristic_most: must be whole seconds"),
        ('name = "two words"', "[caching] name: "),
        ('name = "9lives"', "[caching] name: "),
        ('targets = ["a b"]', "[caching] targets"),
        ('purge_from = ["localhost"]', "[caching] purge_from: 'localhost' is no numeric address"),
        ("freshness = true", "[caching] freshness: unknown key"),
        ('[caching.stale]\nif_refused = "2500ms"', "[caching.stale] if_refused: must be whole seconds"),
        ("[caching.stale]\nfor_all = true", "[caching.stale] for_all: unknown key"),
        ('[caching.clients]\ndeadline = "0s"', "[caching.clients] deadline: must be at least 1ms"),
        ("[caching.disk]", "[caching.disk] path: is missing"),
        ('[caching.disk]\npath = ""', "[caching.disk] path: "),
        ('[caching.disk]\npath = "x"\nwait = "0ms"', "[caching.disk] wait: must be at least 1ms"),
    ],
)
def test_what_is_wrong_with_caching_is_one_line(given: str, says: str, tmp_path: Path) -> None:
    assert_one_line(tmp_path / "gateway.toml", CACHING + given, says)


def test_caching_without_a_gateway_takes_what_is_left_out_from_its_settings(tmp_path: Path) -> None:
    path = tmp_path / "gateway.toml"
    path.write_text(CACHING)
    assert check(path).caching == CachingSettings()


RECORD = """
[site]
name = "west"
"""


MEMBERS = """
[group]
member = "a"
path = "g.sqlite"
voters = ["a"]
tls = { plain = true }
[group.members]
a = "127.0.0.1:7643"
"""


@pytest.mark.parametrize(
    ("given", "says"),
    [
        ("[record]", "[record] sqlite: is missing, and postgres and group too"),
        ("[record.sqlite]\npath = 'r'\n[record.postgres]\ndsn = 'postgres://x'", "[record] sqlite: excludes"),
        ("[record.postgres]\ndsn = 'mysql://x'", "[record.postgres] dsn: "),
        ("[record.postgres]\ndsn = 'postgres://x'\nconnections = 0", "[record.postgres] connections: "),
        ("[record.sqlite]", "[record.sqlite] path: is missing"),
        ('[record.sqlite]\npath = ""', "[record.sqlite] path: "),
        ('[record]\nkeep = 1\n[record.sqlite]\npath = "r"', "[record] keep: unknown key"),
        ('[record]\nsettle = "0s"\n[record.sqlite]\npath = "r"', "[record] settle: must be at least 1ms"),
        ('[record]\nmost_waiting = 0\n[record.sqlite]\npath = "r"', "[record] most_waiting: expected"),
        ("[record.group]", "[record.group]: there is no [group] to hold it"),
        ("[record.group]\n[record.sqlite]\npath = 'r'", "[record] sqlite: excludes group"),
        ("[record.group]\nrows = 1" + MEMBERS, "[record.group] rows: unknown key"),
        ("[record.group]" + MEMBERS, "[record] most_body: 65536 bytes are over [group.limits] most_entry"),
        ("[record]\nmost_body = '8KiB'\nmost_answer = '8KiB'\n[record.group]\nmost_bytes = '16KiB'" + MEMBERS,
         "[record.group] most_bytes: has no room"),
    ],
)
def test_what_is_wrong_with_the_record_is_one_line(given: str, says: str, tmp_path: Path) -> None:
    assert_one_line(tmp_path / "gateway.toml", RECORD + given, says)


MACHINES = MEMBERS + """
[maintenance]
path = "m"
[maintenance.machines.m1]
nodes = ["n1"]
"""


@pytest.mark.parametrize(("given", "says"), [
    ("[maintenance]\npath = 'm'\n[maintenance.machines.m1]\nnodes = ['n1']", "[maintenance]: needs [group]"),
    (MEMBERS + "[maintenance]\npath = 'm'\n[maintenance.machines]", "[maintenance] machines: names none"),
    (MEMBERS + "[maintenance]\n[maintenance.machines]", "[maintenance] path: is missing"),
    (MACHINES + "[maintenance.machines.m2]\nnodes = ['n1']", "node n1 is of m1 too"),
    (MACHINES + "[maintenance.machines.m2]", "[maintenance.machines.m2]: holds neither nodes nor proxies"),
    (MACHINES + "[maintenance.machines.m2]\nproxies = ['z']", "proxies: 'z' is not in [group.members]"),
    (MACHINES + "[maintenance.machines.M2]\nnodes = ['n2']", "[maintenance.machines.M2] name"),
    (MACHINES + "[maintenance.limits]\nmost_out = 0", "[maintenance.limits] most_out: expected `int` >= 1"),
    (MACHINES + "[maintenance.limits]\nmost_work = 60", "[maintenance.limits] most_work: 60 is no duration"),
    (MACHINES + "[maintenance.limits]\nmargin = -0.1", "[maintenance.limits] margin: "),
])  # fmt: skip
def test_what_is_wrong_with_maintenance_is_one_line(given: str, says: str, tmp_path: Path) -> None:
    assert_one_line(tmp_path / "gateway.toml", RECORD + given, says)


@pytest.mark.parametrize(("given", "says"), [
    ("[plan]\nmachines = []", "[plan] id: is missing"), ("[plan]\nid = 'x'", "[plan] machines: is missing"),
    ("[plans]", "[plans]: unknown table"),
    ("[plan]\nid = 'x'\nmachines = []\nmost = 1", "[plan] most: unknown"),
    ("[plan]\nid = 'x'\nmachines = []\nopens = 5", "[plan] opens: a date, a time and their offset"),
    ("[plan]\nid = 'x'\nmachines = []\nopens = 2026-12-02T22:00:00", "[plan] opens: a date"),
    ("[plan]\nid = 'x'\nmachines = []\ncommand = ['']", "[plan] command: an empty argument"),
    ("[plan]\nid = 'x'\nmachines = []\n[plan.limits]\nspread = '5'", "[plan.limits] spread: '5' is no"),
])  # fmt: skip
def test_what_is_wrong_with_a_plan_is_one_line(given: str, says: str, tmp_path: Path) -> None:
    (tmp_path / "gateway.toml").write_text(RECORD + MACHINES)
    settings = load(tmp_path / "gateway.toml").maintenance
    path = tmp_path / "plan.toml"
    path.write_text(given)
    assert settings is not None
    with pytest.raises(BadFile) as e:
        maintenance.plan(path, "me", settings)
    assert says in str(e.value) and str(e.value).startswith(f"{path}: ") and "\n" not in str(e.value)


def test_a_plan_takes_what_it_leaves_out_from_the_operators_file(tmp_path: Path) -> None:
    (tmp_path / "gateway.toml").write_text(RECORD + MACHINES + "[maintenance.limits]\nmost_work = '20m'")
    settings = load(tmp_path / "gateway.toml").maintenance
    assert settings is not None
    path = tmp_path / "plan.toml"
    path.write_text(
        "[plan]\nid = 'kernel'\nmachines = ['m1']\ncommand = ['work', 'x']\nopens = 2026-12-02T22:00:00Z\n"
        "[plan.limits]\nspread = '500ms'\ngo_on = true\n"
    )
    limits = PlanLimits(most_work_s=1200.0, spread_s=0.5, go_on=True)
    wanted = Plan("kernel", "me", ("m1",), "", ("work", "x"), 1796248800.0, 0.0, limits)
    assert maintenance.plan(path, "me", settings) == wanted
