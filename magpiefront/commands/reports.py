"""Lets `python -m magpiefront record` read and change the reports of a group, through a member."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from magpiefront.commands.group import GroupClient
from magpiefront.commands.group import CommandError as GroupCommandError
from magpiefront.operator.file import OperatorConfig
from magpiefront.record.report_stores import CommandError
from magpiefront.record.commands import from_json, to_json
from magpiefront.record.rows import Id, Row, State


class GroupReportStore:
    """Implements `record.report_stores.ReportStore`. Rows are read in pages: a row that changes between two
    pages may be missed; one that is in two pages is returned once."""

    def __init__(self, operator: OperatorConfig) -> None:
        """Raises CommandError."""
        try:
            self.client = GroupClient(operator, None)
        except GroupCommandError as e:
            raise CommandError(str(e)) from None
        self.name = f"group {self.client.settings.name}"

    def _request(self, command: str, **arguments: Any) -> dict[str, Any]:
        """Raises CommandError."""
        try:
            return self.client.request({"do": "record", "what": command, **arguments})
        except GroupCommandError as e:
            raise CommandError(str(e)) from None

    def counts(self) -> list[tuple[str, int, float]]:
        counts = self._request("counts")["counts"]
        return [(state, int(count), float(oldest)) for state, (count, oldest) in counts.items()]

    def rows(self, state: State | None = None) -> Iterator[Row]:
        first, seen = 0, set[Id]()
        while True:
            page = self._request("rows", first=first, **({"state": state.value} if state is not None else {}))
            for row in map(from_json, page["rows"]):
                if row.id not in seen:
                    seen.add(row.id)
                    yield row
            first = page["next"]
            if not first:
                return

    def find(self, id: Id) -> Row | None:
        return next((r for r in self.rows() if r.id == id), None)

    def add(self, row: Row) -> bool:
        return bool(self._request("add", row=to_json(row))["done"])

    def change(self, before: Row, after: Row) -> bool:
        return bool(self._request("change", before=to_json(before), after=to_json(after))["done"])

    def begin(self, writes: bool) -> None:
        pass

    def commit(self) -> None:
        pass

    def verify_rows(self) -> Iterator[Row | str]:
        yield from self.rows()

    def source_backups(self) -> list[tuple[float, float | None]]:
        return []

    def size(self) -> int:
        return int(self._request("counts")["bytes"])

    def compact(self) -> None:
        raise CommandError(
            "the group compacts its logs by itself; `group snapshot` does it now at one member"
        )

    def close(self) -> None:
        pass
