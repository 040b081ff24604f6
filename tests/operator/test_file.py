"""The operator's file. An error in it is reported in one line that names the file, the table and the key."""

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
from magpiefront.operator import file as operator_file
from magpiefront.operator.compose import load_and_check
from magpiefront.operator.parsing import BadFile
from magpiefront.operator.file import load_operator_config
from magpiefront.operator.tls import TlsTable
from magpiefront.record.settings import RecordSettings, SqliteSettings

EXAMPLE = Path(__file__).resolve().parents[2] / "deploy" / "gateway.toml"
VALID = """
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
    content = VALID
    for before, after in changes:
        assert before in content
        content = content.replace(before, after)
    return content + more


PLAIN = "plain = true"
CERTIFICATES = 'certificate = "a.pem"\nkey = "a.key"\nca = "ca.pem"'


def assert_one_line(path: Path, content: str, message: str) -> None:
    path.write_text(content)
    with pytest.raises(BadFile) as e:
        load_and_check(path)
    line = str(e.value)
    assert message in line and line.startswith(f"{path}: ") and "\n" not in line


@pytest.mark.parametrize(
    ("content", "message"),
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
            "[gateway.link] ping_interval: 250 is not a duration",
        ),
        (
            text(more='[gateway.link]\nping_interval = "2h"'),
            "[gateway.link] ping_interval: '2h' is not a duration",
        ),
        (text(more='[gateway.link]\nping_interval = "0ms"'), "ping_interval: must be at least 1ms"),
        (
            text(more='[gateway.link]\nping_interval = "900ms"'),
            "[gateway.link] ping_timeout: must be at least twice",
        ),
        (text(more='[gateway.link]\nbackoff = "5s"'), "[gateway.link] most_backoff: must not be below"),
        (
            text(more='[gateway.keyed]\nmost_bytes = "16MB"'),
            "[gateway.keyed] most_bytes: '16MB' is not a size",
        ),
        (text(more="[gateway.credits]\ntenant_share = 1.5"), "[gateway.credits] tenant_share: "),
        (
            text(more="[gateway.credits.reserved]\na = 0.5\nb = 0.5"),
            "[gateway.credits] reserved: must leave a share",
        ),
        (text(more="[gateway.retry]\nmost_tries = 99"), "[gateway.retry] most_tries: "),
        (text(("listen = ", "heard = ")), "[gateway] heard: unknown key"),
        (text(('listen = "127.0.0.1:7443"', "")), "[gateway] listen: is missing"),
        (
            text(('"127.0.0.1:7443"', '"localhost:7443"')),
            "[gateway] listen: 'localhost:7443' is not an address",
        ),
        (text(('"127.0.0.1:7443"', '"127.0.0.1"')), "[gateway] listen: '127.0.0.1' is not an address"),
        (text(('"127.0.0.1:7543"', '"127.0.0.1:99999"')), "[gateway.sites.east] peers"),
        (
            text(("[gateway.sites.west]", '[gateway.sites.west]\npeers = ["127.0.0.1:1"]')),
            "[gateway.sites.west] peers: not allowed for the local site",
        ),
        (
            text(("[gateway.sites.east]", "[gateway.sites.west]")),
            "Cannot declare",
        ),  # a site is defined twice
        (text(("[gateway.sites.west]", "[gateway.sites.north]")), "[gateway.sites.north] peers: is missing"),
        (
            text(("[gateway.sites.west]", '[gateway.sites.north]\npeers = ["127.0.0.1:9"]')),
            "the local site is missing",
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
        (text(("[gateway.sites.west]", '[gateway.sites.west]\nprefixes = [""]')), "an empty prefix"),
        (
            text(
                ("[gateway.sites.west]", "[gateway.sites.west]\nweight = 0"),
                ("[gateway.sites.east]", "[gateway.sites.east]\nweight = 0"),
            ),
            "needs a weight above 0",
        ),
        (text((PLAIN, "")), "[gateway.tls] certificate: is missing"),
        (text((PLAIN, CERTIFICATES.partition("\n")[0])), "[gateway.tls] key: is missing"),
        (text((PLAIN, PLAIN + "\n" + CERTIFICATES)), "[gateway.tls] plain: excludes certificate, key, ca"),
        (text((PLAIN, CERTIFICATES)), "[gateway.tls] certificate: "),
    ],
)
def test_error_is_one_line(content: str, message: str, tmp_path: Path) -> None:
    assert_one_line(tmp_path / "gateway.toml", content, message)


def test_missing_file_or_binary_file(tmp_path: Path) -> None:
    with pytest.raises(BadFile, match="No such file"):
        load_operator_config(tmp_path / "none.toml")
    (tmp_path / "bad.toml").write_bytes(b"\xff\xfe")
    with pytest.raises(BadFile, match="not UTF-8"):
        load_operator_config(tmp_path / "bad.toml")


def test_gateway_is_optional(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text('[site]\nname = "west"\n')
    assert load_operator_config(path).gateway is None


def test_example_shows_every_key_with_its_default(tmp_path: Path) -> None:
    content = EXAMPLE.read_text()
    assert load_and_check(EXAMPLE).gateway is not None
    tables: dict[str, type[msgspec.Struct]] = {
        "site": operator_file.SiteTable,
        "gateway": operator_file.GatewayTable,
        "gateway.tls": TlsTable,
        "gateway.link": operator_file.LinkTable,
        "gateway.credits": operator_file.CreditTable,
        "gateway.retry": operator_file.RetryTable,
        "gateway.keyed": operator_file.KeyedTable,
        "gateway.sites.east": operator_file.SiteEntry,
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
    content = re.sub(r"^#\[", "[", content, flags=re.M)
    for name, struct in tables.items():
        section = content.partition(f"\n[{name}]\n")[2].partition("\n[")[0]
        for f in msgspec.structs.fields(struct):
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
                assert re.search(rf"^#?{f.name} = .*#|^#?{f.name} = ", section, re.M), f"{name}.{f.name}"
    # Keys that are commented out show their defaults: uncommented, they change nothing.
    path = tmp_path / "whole.toml"
    other_stores = "# The store of record may be PostgreSQL instead of an SQLite file."
    assert content.count(other_stores) == 1
    one_store = content.partition(other_stores)[0]  # two stores exclude each other
    kept_lines = [line for line in one_store.splitlines() if not re.match(r"#(certificate|key|ca) ", line)]
    path.write_text("\n".join(re.sub(r"^#(?=[a-z_]+ = )", "", line) for line in kept_lines))
    config = load_operator_config(path)
    assert config.gateway == load_operator_config(EXAMPLE).gateway and config.caching is not None
    assert config.caching.disk == DiskSettings(tmp_path / "cache.sqlite")
    assert replace(config.caching, disk=None) == load_operator_config(EXAMPLE).caching
    assert config.record == replace(
        RecordSettings(SqliteSettings(tmp_path / "record.sqlite")), classes=frozenset({"field-report"})
    )
    group_tables = "[group]" + content.partition("\n[group]")[2]
    path.write_text('[site]\nname = "west"\n' + re.sub(r"^#(?=[a-z_0-9-]+ = )", "", group_tables, flags=re.M))
    settings = load_operator_config(path).maintenance
    assert settings is not None and settings.limits == PlanLimits() and settings.path == tmp_path / "machines"
    assert settings.machines["rack1-a"] == Machine("rack1-a", ("west-0", "west-1"), ("west-1",), "rack1")
    group_config = load_operator_config(path).group
    assert group_config is not None and group_config.settings == GroupSettings(
        "west", "west-1", ("127.0.0.1", 7643), tmp_path / "group.sqlite",
        {f"west-{n}": ("127.0.0.1", 7642 + n) for n in (1, 2, 3)}, frozenset({"west-1", "west-2", "west-3"}),
    )  # fmt: skip


CACHING = """
[site]
name = "west"
[caching]
"""


@pytest.mark.parametrize(
    ("content", "message"),
    [
        ('most_bytes = "10KiB"\nmost_object = "1KiB"', "[caching] most_bytes: must be at least 64KiB"),
        ('most_object = "17MiB"', "[caching] most_object: must be at most a quarter of most_bytes"),
        ('most_object = "1MB"', "[caching] most_object: '1MB' is not a size"),
        ("most_variants = 0", "[caching] most_variants: expected `int` >= 1"),
        ("heuristic_fraction = 2.0", "[caching] heuristic_fraction: "),
        ('heuristic_most = "1500ms"', "[caching] heuristic_most: must be whole seconds"),
        ('name = "two words"', "[caching] name: "),
        ('name = "9lives"', "[caching] name: "),
        ('targets = ["a b"]', "[caching] targets"),
        ('purge_from = ["localhost"]', "[caching] purge_from: 'localhost' is not a numeric address"),
        ("freshness = true", "[caching] freshness: unknown key"),
        ('[caching.stale]\nif_refused = "2500ms"', "[caching.stale] if_refused: must be whole seconds"),
        ("[caching.stale]\nfor_all = true", "[caching.stale] for_all: unknown key"),
        ('[caching.clients]\ndeadline = "0s"', "[caching.clients] deadline: must be at least 1ms"),
        ("[caching.disk]", "[caching.disk] path: is missing"),
        ('[caching.disk]\npath = ""', "[caching.disk] path: "),
        ('[caching.disk]\npath = "x"\nwait = "0ms"', "[caching.disk] wait: must be at least 1ms"),
    ],
)
def test_caching_error_is_one_line(content: str, message: str, tmp_path: Path) -> None:
    assert_one_line(tmp_path / "gateway.toml", CACHING + content, message)


def test_caching_without_a_gateway_uses_the_defaults(tmp_path: Path) -> None:
    path = tmp_path / "gateway.toml"
    path.write_text(CACHING)
    assert load_and_check(path).caching == CachingSettings()


SITE = """
[site]
name = "west"
"""


GROUP = """
[group]
member = "a"
path = "g.sqlite"
voters = ["a"]
tls = { plain = true }
[group.members]
a = "127.0.0.1:7643"
"""


@pytest.mark.parametrize(
    ("content", "message"),
    [
        ("[record]", "[record] sqlite: is missing, as are postgres and group"),
        ("[record.sqlite]\npath = 'r'\n[record.postgres]\ndsn = 'postgres://x'", "[record] sqlite: excludes"),
        ("[record.postgres]\ndsn = 'mysql://x'", "[record.postgres] dsn: "),
        ("[record.postgres]\ndsn = 'postgres://x'\nconnections = 0", "[record.postgres] connections: "),
        ("[record.sqlite]", "[record.sqlite] path: is missing"),
        ('[record.sqlite]\npath = ""', "[record.sqlite] path: "),
        ('[record]\nkeep = 1\n[record.sqlite]\npath = "r"', "[record] keep: unknown key"),
        ('[record]\nsettle = "0s"\n[record.sqlite]\npath = "r"', "[record] settle: must be at least 1ms"),
        ('[record]\nmost_waiting = 0\n[record.sqlite]\npath = "r"', "[record] most_waiting: expected"),
        ("[record.group]", "[record.group]: needs [group]"),
        ("[record.group]\n[record.sqlite]\npath = 'r'", "[record] sqlite: excludes group"),
        ("[record.group]\nrows = 1" + GROUP, "[record.group] rows: unknown key"),
        ("[record.group]" + GROUP, "[record] most_body: 65536 bytes are over [group.limits] most_entry"),
        (
            "[record]\nmost_body = '8KiB'\nmost_answer = '8KiB'\n[record.group]\nmost_bytes = '16KiB'"
            + GROUP,
            "[record.group] most_bytes: must have room",
        ),
    ],
)
def test_record_error_is_one_line(content: str, message: str, tmp_path: Path) -> None:
    assert_one_line(tmp_path / "gateway.toml", SITE + content, message)


MAINTENANCE = (
    GROUP
    + """
[maintenance]
path = "m"
[maintenance.machines.m1]
nodes = ["n1"]
"""
)


@pytest.mark.parametrize(("content", "message"), [
    ("[maintenance]\npath = 'm'\n[maintenance.machines.m1]\nnodes = ['n1']", "[maintenance]: needs [group]"),
    (GROUP + "[maintenance]\npath = 'm'\n[maintenance.machines]", "[maintenance] machines: is empty"),
    (GROUP + "[maintenance]\n[maintenance.machines]", "[maintenance] path: is missing"),
    (MAINTENANCE + "[maintenance.machines.m2]\nnodes = ['n1']", "node n1 belongs to m1 already"),
    (MAINTENANCE + "[maintenance.machines.m2]", "[maintenance.machines.m2]: holds neither nodes nor proxies"),
    (MAINTENANCE + "[maintenance.machines.m2]\nproxies = ['z']", "proxies: 'z' is not in [group.members]"),
    (MAINTENANCE + "[maintenance.machines.M2]\nnodes = ['n2']", "[maintenance.machines.M2] name"),
    (MAINTENANCE + "[maintenance.limits]\nmost_out = 0",
     "[maintenance.limits] most_out: expected `int` >= 1"),
    (MAINTENANCE + "[maintenance.limits]\nmost_work = 60",
     "[maintenance.limits] most_work: 60 is not a duration"),
    (MAINTENANCE + "[maintenance.limits]\nmargin = -0.1", "[maintenance.limits] margin: "),
])  # fmt: skip
def test_maintenance_error_is_one_line(content: str, message: str, tmp_path: Path) -> None:
    assert_one_line(tmp_path / "gateway.toml", SITE + content, message)


@pytest.mark.parametrize(("content", "message"), [
    ("[plan]\nmachines = []", "[plan] id: is missing"), ("[plan]\nid = 'x'", "[plan] machines: is missing"),
    ("[plans]", "[plans]: unknown table"),
    ("[plan]\nid = 'x'\nmachines = []\nmost = 1", "[plan] most: unknown"),
    ("[plan]\nid = 'x'\nmachines = []\nopens = 5", "[plan] opens: must be a date and time with an offset"),
    ("[plan]\nid = 'x'\nmachines = []\nopens = 2026-12-02T22:00:00", "[plan] opens: must be a date"),
    ("[plan]\nid = 'x'\nmachines = []\ncommand = ['']", "[plan] command: has an empty argument"),
    ("[plan]\nid = 'x'\nmachines = []\n[plan.limits]\nspread = '5'", "[plan.limits] spread: '5' is not"),
])  # fmt: skip
def test_plan_error_is_one_line(content: str, message: str, tmp_path: Path) -> None:
    (tmp_path / "gateway.toml").write_text(SITE + MAINTENANCE)
    settings = load_operator_config(tmp_path / "gateway.toml").maintenance
    path = tmp_path / "plan.toml"
    path.write_text(content)
    assert settings is not None
    with pytest.raises(BadFile) as e:
        maintenance.load_plan(path, "me", settings)
    assert message in str(e.value) and str(e.value).startswith(f"{path}: ") and "\n" not in str(e.value)


def test_plan_uses_defaults_of_the_operators_file(tmp_path: Path) -> None:
    (tmp_path / "gateway.toml").write_text(SITE + MAINTENANCE + "[maintenance.limits]\nmost_work = '20m'")
    settings = load_operator_config(tmp_path / "gateway.toml").maintenance
    assert settings is not None
    path = tmp_path / "plan.toml"
    path.write_text(
        "[plan]\nid = 'kernel'\nmachines = ['m1']\ncommand = ['work', 'x']\nopens = 2026-12-02T22:00:00Z\n"
        "[plan.limits]\nspread = '500ms'\ngo_on = true\n"
    )
    limits = PlanLimits(most_work_s=1200.0, spread_s=0.5, go_on=True)
    expected = Plan("kernel", "me", ("m1",), "", ("work", "x"), 1796248800.0, 0.0, limits)
    assert maintenance.load_plan(path, "me", settings) == expected
