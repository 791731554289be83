"""Proposed changes of the control state and their outcomes."""

import json
from dataclasses import asdict, dataclass, field
from typing import Annotated, Any, Literal

import pydantic
from pydantic import BaseModel, ConfigDict, Field

from ..core.errors import ConflictError, NotFoundError, ValidationError

OutcomeKind = Literal['ok', 'conflict', 'invalid_input', 'not_found']


class Change(BaseModel):
    """One requested change of the control state.

    ``expected_revision`` is the revision of the object on which the change is
    based; 0 means that the object must not exist yet. ``request_id`` identifies
    the change when it is resent. ``unchanged_since`` is the revision of the
    control state that the sender refers to: the change is refused if its object
    was created, changed or removed after that.
    """

    model_config = ConfigDict(extra='forbid', frozen=True)

    request_id: Annotated[str, Field(min_length=8, max_length=64)]
    command: Annotated[str, Field(max_length=64)]
    arguments: dict[str, Any] = {}
    expected_revision: Annotated[int, Field(ge=0)] | None = None
    unchanged_since: Annotated[int, Field(ge=0)] | None = None
    operator: Annotated[str, Field(max_length=64)] = 'unknown'
    proposed_unix_s: float = 0.0

    def encode(self) -> bytes:
        """Return the change as JSON."""
        unused = {'unchanged_since'} if self.unchanged_since is None else None
        return self.model_dump_json(exclude=unused).encode()

    @classmethod
    def decode(cls, payload: bytes) -> 'Change':
        """Read a change from JSON.

        Raises
        ------
        ValidationError
            If the payload is not a valid change.
        """
        try:
            return cls.model_validate_json(payload)
        except pydantic.ValidationError as error:
            raise ValidationError(
                describe_validation(error), remedy='correct the named fields'
            ) from error


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a change; a resent change gets the same one."""

    kind: OutcomeKind
    revision: int
    object_revision: int = 0
    problem: str = ''
    remedy: str = ''
    winner_request_id: str = ''
    winner_operator: str = ''
    details: dict[str, Any] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the outcome as JSON."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, payload: bytes) -> 'Outcome':
        """Read an outcome from JSON."""
        return cls(**json.loads(payload))

    def raise_for_kind(self) -> None:
        """Raise the matching exception unless the outcome is ``ok``.

        Raises
        ------
        ConflictError, NotFoundError, ValidationError
            Depending on ``kind``.
        """
        if self.kind == 'conflict':
            raise ConflictError(
                self.problem,
                winner_request_id=self.winner_request_id,
                winner_operator=self.winner_operator,
                revision=self.object_revision,
                remedy=self.remedy,
            )
        if self.kind == 'not_found':
            raise NotFoundError(self.problem, remedy=self.remedy)
        if self.kind == 'invalid_input':
            raise ValidationError(self.problem, remedy=self.remedy)


def describe_validation(error: pydantic.ValidationError) -> str:
    """Return one line with the name, value and error of each invalid field."""
    parts = []
    for detail in error.errors():
        field_name = '.'.join(str(part) for part in detail['loc'])
        parts.append(f'{field_name}={detail["input"]!r}: {detail["msg"]}')
    return ', '.join(parts)
