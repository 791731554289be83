"""The replicated state machine of the control state.

Applies log entries in order of revision. It keeps the outcomes of recent
changes, so that a change that is resent after a lost reply is applied once.
"""

import json
from collections import OrderedDict, deque
from collections.abc import Iterator, Mapping
from dataclasses import asdict, fields
from itertools import islice
from types import MappingProxyType
from typing import Any

import pydantic

from ..core.errors import (
    ConflictError,
    NotFoundError,
    OleanderpinError,
    ValidationError,
)
from .change import Change, Outcome, OutcomeKind, describe_validation
from .commands import Command, commands
from .state import RECORD_TYPES, ControlState, HistoryRecord, ObjectMeta

# Outcomes kept to recognize resent changes: about two weeks of changes at the
# design load.
_MAX_OUTCOMES = 10000
_MAX_HISTORY = 1000
_RECORDS_PER_CHUNK = 1000
_OUTCOME_KINDS: Mapping[type[OleanderpinError], OutcomeKind] = MappingProxyType(
    {
        ConflictError: 'conflict',
        NotFoundError: 'not_found',
        ValidationError: 'invalid_input',
    }
)


class StateMachine:
    """Control state with the outcomes and the history of past changes.

    Instances that have applied the same entries hold identical content.
    """

    def __init__(self) -> None:
        """Start at revision 0 with empty tables."""
        self.state = ControlState()
        self.revision = 0
        self.outcomes: OrderedDict[str, Outcome] = OrderedDict()
        self.history: deque[HistoryRecord] = deque(maxlen=_MAX_HISTORY)

    def apply(self, revision: int, payload: bytes) -> Outcome | None:
        """Apply the entry with the given revision.

        Parameters
        ----------
        revision : int
            Index of the entry, one above the last one applied.
        payload : bytes
            JSON of a `Change`; empty for a no-op entry.

        Returns
        -------
        Outcome or None
            None for a no-op entry. A resent change gets its first outcome.

        Raises
        ------
        ValueError
            If an entry is skipped or repeated.
        Exception
            If the entry cannot be applied. Nothing has changed then: an entry
            is never skipped.
        """
        if revision != self.revision + 1:
            raise ValueError(
                f'cannot apply revision {revision} '
                f'directly after revision {self.revision}'
            )
        self.revision = revision
        try:
            return self._apply_payload(payload)
        except Exception:
            self.revision = revision - 1
            raise

    def _apply_payload(self, payload: bytes) -> Outcome | None:
        if not payload:
            return None
        change = Change.decode(payload)
        recorded = self.outcomes.get(change.request_id)
        if recorded is not None:
            return recorded
        outcome = self._execute(change)
        self.outcomes[change.request_id] = outcome
        if len(self.outcomes) > _MAX_OUTCOMES:
            self.outcomes.popitem(last=False)
        return outcome

    def copy(self) -> 'StateMachine':
        """Return a copy that is unaffected by later changes.

        The tables are immutable, so the copy shares them.
        """
        copied = StateMachine()
        copied.state = self.state
        copied.revision = self.revision
        copied.outcomes = self.outcomes.copy()
        copied.history = self.history.copy()
        return copied

    def encode(self) -> bytes:
        """Return the state machine as JSON, for a snapshot."""
        answers = [
            [request_id, asdict(outcome)]
            for request_id, outcome in self.outcomes.items()
        ]
        history = [asdict(record) for record in self.history]
        parts = [f'{{"revision":{self.revision},"answers":{_dumps(answers)}']
        parts.append(f',"history":{_dumps(history)},"tables":{{')
        for number, table in enumerate(RECORD_TYPES):
            parts.append(',' if number else '')
            parts.append(f'{_dumps(table)}:{{')
            parts.extend(_encode_table(table, getattr(self.state, table)))
            parts.append('}')
        parts.append('}}')
        return ''.join(parts).encode()

    @classmethod
    def decode(cls, snapshot: bytes) -> 'StateMachine':
        """Return the state machine stored in a snapshot.

        Raises
        ------
        ValidationError
            If the snapshot is malformed.
        """
        machine = cls()
        try:
            document = json.loads(snapshot)
            tables = {
                table: _decode_table(
                    record_type, document['tables'].get(table, {})
                )
                for table, record_type in RECORD_TYPES.items()
            }
            machine.state = ControlState(**tables)
            machine.revision = int(document['revision'])
            for request_id, outcome in document['answers']:
                machine.outcomes[request_id] = Outcome(**outcome)
            machine.history.extend(
                HistoryRecord(**record) for record in document['history']
            )
        except (KeyError, TypeError, ValueError) as error:
            raise ValidationError(
                f'malformed snapshot: {error!r}',
                remedy='fetch the snapshot again from another instance',
            ) from error
        return machine

    def _execute(self, change: Change) -> Outcome:
        try:
            command = commands.get(change.command)
            arguments = command.arguments_model.model_validate(change.arguments)
        except ValidationError as error:
            return self._failure('invalid_input', error)
        except pydantic.ValidationError as error:
            return self._failure(
                'invalid_input',
                ValidationError(
                    describe_validation(error),
                    remedy='correct the named fields',
                ),
            )
        name = getattr(arguments, command.key_field) if command.table else ''
        conflict = self._check_revision(change, command, name)
        if conflict is not None:
            return conflict
        try:
            state = command.apply(self.state, arguments, change.proposed_unix_s)
        except (ConflictError, NotFoundError, ValidationError) as error:
            return self._failure(_OUTCOME_KINDS[type(error)], error)
        self._commit(change, command, name, state)
        return Outcome('ok', self.revision, object_revision=self.revision)

    def _check_revision(
        self, change: Change, command: Command, name: str
    ) -> Outcome | None:
        if not command.table:
            return None
        exists = name in getattr(self.state, command.table)
        meta = self.state.metas.get(_meta_key(command.table, name))
        since = change.unchanged_since
        if since is not None and meta is not None and meta.revision > since:
            return self._conflict(
                meta.revision,
                f'{name!r} was changed at revision {meta.revision}, after the '
                f'revision {since} that the change refers to',
                meta,
            )
        current = meta.revision if meta is not None and exists else 0
        creates = change.command.endswith(('.put', '.add', '.start'))
        if not exists and not creates:
            return self._failure(
                'not_found',
                NotFoundError(
                    f'no {command.table.removesuffix("s")} {name!r}',
                    remedy='list the existing ones',
                ),
            )
        expected = change.expected_revision
        if expected is None or expected == current:
            return None
        return self._conflict(
            current,
            f'{name!r} is at revision {current}, not at the expected {expected}',
            meta,
        )

    def _conflict(
        self, object_revision: int, problem: str, meta: ObjectMeta | None
    ) -> Outcome:
        return Outcome(
            'conflict',
            self.revision,
            object_revision=object_revision,
            problem=problem,
            remedy='read the object again and repeat the change against it',
            winner_request_id=meta.request_id if meta else '',
            winner_operator=meta.operator if meta else '',
        )

    def _commit(
        self, change: Change, command: Command, name: str, state: ControlState
    ) -> None:
        if state is self.state:
            return
        if command.table:
            meta = ObjectMeta(self.revision, change.request_id, change.operator)
            state = state.with_record(
                'metas', _meta_key(command.table, name), meta
            )
        self.state = state
        self.history.append(
            HistoryRecord(
                revision=self.revision,
                operator=change.operator,
                command=change.command,
                target=name,
                request_id=change.request_id,
                unix_s=change.proposed_unix_s,
            )
        )

    def _failure(self, kind: OutcomeKind, error: OleanderpinError) -> Outcome:
        return Outcome(
            kind, self.revision, problem=error.problem, remedy=error.remedy
        )


def _meta_key(table: str, name: str) -> str:
    return f'{table}/{name}'


def _dumps(content: Any) -> str:
    return json.dumps(content, separators=(',', ':'))


def _encode_table(table: str, records: Mapping[str, Any]) -> Iterator[str]:
    """Yield the records as JSON in chunks.

    The encoder holds the global interpreter lock: encoding 300,000 blocks in
    one call delays heartbeats by half of the leader lease.
    """
    names = [each.name for each in fields(RECORD_TYPES[table])]
    pairs = iter(records.items())
    separator = ''
    chunk = list(islice(pairs, _RECORDS_PER_CHUNK))
    while chunk:
        encoded = {
            name: {field: getattr(record, field) for field in names}
            for name, record in chunk
        }
        yield separator + _dumps(encoded)[1:-1]
        separator = ','
        chunk = list(islice(pairs, _RECORDS_PER_CHUNK))


def _decode_table(
    record_type: type, records: Mapping[str, Any]
) -> Mapping[str, Any]:
    decoded = {}
    for name, stored in records.items():
        # JSON has no tuples, which the hashable records need.
        normalized = {
            field: tuple(value) if isinstance(value, list) else value
            for field, value in stored.items()
        }
        decoded[name] = record_type(**normalized)
    return MappingProxyType(decoded)
