"""Commands that read and change the configuration as a single document."""

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
        """Show the number and the limits of the current configuration."""
        return self._session.show(self._session.records('configurations'))

    def routes(self) -> str:
        """List the routes."""
        return self._session.show(self._session.records('routes'))

    def replace(self, file: str) -> str:
        """Replace the configuration with the document in a JSON file."""
        return self._submit('configuration.replace', file)

    def edit(self, file: str) -> str:
        """Update and remove the objects that a JSON file lists."""
        return self._submit('configuration.edit', file)

    def _submit(self, command: str, file: str) -> str:
        outcome = self._session.change(
            command, _read_document(file), revision=None
        )
        return self._session.show(outcome)


def _read_document(file: str) -> dict[str, Any]:
    try:
        document = json.loads(Path(str(file)).read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        raise ValidationError(
            f'{file!r} cannot be read: {error}',
            remedy='give a file with a JSON document',
        ) from error
    if not isinstance(document, dict):
        raise ValidationError(
            f'{file!r} does not contain a JSON object',
            remedy='give number, based_on and objects',
        )
    return document
