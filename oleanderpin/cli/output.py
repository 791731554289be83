"""Rendering of documents as aligned text tables or as JSON."""

import json
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

_COLUMN_SEPARATOR = '  '


def render(document: Any, *, as_json: bool) -> str:
    """Return a document as text.

    Parameters
    ----------
    document : Any
        Decoded JSON.
    as_json : bool
        Whether to print JSON instead of a table.
    """
    if as_json:
        return json.dumps(document, indent=2)
    if isinstance(document, Mapping):
        return _render_mapping(document)
    if isinstance(document, list) and document:
        return _render_table(document)
    return 'none' if document in ([], None) else str(document)


def _render_mapping(document: Mapping[str, Any]) -> str:
    lines = []
    tables = []
    for name, value in document.items():
        if isinstance(value, list) and value and isinstance(value[0], Mapping):
            tables.append(f'\n{name}:\n{_render_table(value)}')
        else:
            lines.append(f'{name}: {_format_cell(value, column=name)}')
    return '\n'.join([*lines, *tables])


def _render_table(rows: Sequence[Any]) -> str:
    if not isinstance(rows[0], Mapping):
        return '\n'.join(_format_cell(row) for row in rows)
    columns = list(rows[0])
    cells = [columns]
    for row in rows:
        cells.append(
            [_format_cell(row.get(column), column=column) for column in columns]
        )
    widths = [
        max(len(line[position]) for line in cells)
        for position in range(len(columns))
    ]
    return '\n'.join(
        _COLUMN_SEPARATOR.join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    )


def _format_cell(value: Any, *, column: str = '') -> str:
    if column.endswith('unix_s') and value:
        timestamp = datetime.fromtimestamp(value, tz=UTC)
        return timestamp.isoformat(timespec='seconds')
    if isinstance(value, list):
        return ','.join(_format_cell(item) for item in value) or '-'
    if isinstance(value, float):
        return f'{value:g}'
    return '-' if value in (None, '') else str(value)
