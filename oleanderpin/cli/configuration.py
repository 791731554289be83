"""Commands for the whole configuration as one document."""

import json
from pathlib import Path
from typing import Any

from ..core.errors import ValidationError
from .groups import Session


class Configurations:
    """Routes, services, profiles and accounts as one numbered document."""

    def __init__(self, session: Session) -> None:
        """Keep the session."""
        self._session = session

    def show(self) -> str:
        """Show the number and the limits of the configuration in force."""
        return self._session.show(self._session.records('configurations'))

    def routes(self) -> str:
        """List the routes."""
        return self._session.show(self._session.records('routes'))

    def replace(self, file: str) -> str:
        """Put the document of a JSON file in place of the configuration."""
        return self._change('configuration.replace', file)

    def edit(self, file: str) -> str:
        """Change and remove the objects that a JSON file names."""
        return self._change('configuration.edit', file)

    def _change(self, command: str, file: str) -> str:
        outcome = self._session.change(command, _read(file), revision=None)
        return self._session.show(outcome)


def _read(file: str) -> dict[str, Any]:
    try:
        document = json.loads(Path(str(file)).read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        raise ValidationError(
            f'{file!r} cannot be read: {error}',
            remedy='give a file with a JSON document',
        ) from error
    if not isinstance(document, dict):
        raise ValidationError(
            f'{file!r} holds no JSON object',
            remedy='give number, based_on and objects',
        )
    return document
