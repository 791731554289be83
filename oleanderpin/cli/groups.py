"""Command groups of ``oleanderpin``, one class per kind of object."""

import ipaddress
import re
import secrets
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import islice
from pathlib import Path
from typing import Any

from ..control.authority import hash_key
from ..core.errors import NotFoundError, ValidationError
from .client import AdminClient
from .output import render

_KEY_BYTES = 24
_HASH_PREFIX = re.compile('^[0-9a-f]{8,64}$')
_BLOCKS_PER_CHANGE = 5000


@dataclass(frozen=True, slots=True)
class Session:
    """Admin client and output options shared by all command groups."""

    client: AdminClient
    as_json: bool
    wait: str

    def show(self, document: Any) -> str:
        """Return a document as text in the selected output format."""
        return render(document, as_json=self.as_json)

    def records(self, table: str) -> list[dict[str, Any]]:
        """Return all records of a table."""
        records: list[dict[str, Any]] = self.client.get(f'/v1/{table}')
        return records

    def record(self, table: str, key_field: str, name: str) -> dict[str, Any]:
        """Return one record.

        Raises
        ------
        NotFoundError
            If there is no such record; the remedy lists the known names.
        """
        records = self.records(table)
        for record in records:
            if record[key_field] == name:
                return record
        known = [record[key_field] for record in records]
        raise NotFoundError(
            f'no {table.removesuffix("s")} {name!r}',
            remedy=f'use one of {known}',
        )

    def change(
        self,
        command: str,
        arguments: dict[str, Any],
        *,
        revision: int | None,
        request_id: str = '',
    ) -> Any:
        """Submit a change and return its outcome."""
        return self.client.change(
            command,
            arguments,
            expected_revision=revision,
            wait=self.wait,
            request_id=request_id,
        )


class _RecordCommands:
    """Commands on the records of one table."""

    table = ''
    key_field = 'name'

    def __init__(self, session: Session) -> None:
        self._session = session

    def list(self) -> str:
        """List all records with their revisions."""
        return self._session.show(self._session.records(self.table))

    def show(self, name: str) -> str:
        """Show one record."""
        record = self._session.record(self.table, self.key_field, str(name))
        return self._session.show(record)

    def _put(
        self,
        command: str,
        name: str,
        fields: Mapping[str, Any],
        revision: int | None,
    ) -> str:
        current = self._find_record(name)
        kept = {
            field: value
            for field, value in current.items()
            if field not in {'revision', *fields}
        }
        arguments = {**kept, **fields, self.key_field: name}
        if revision is None:
            revision = current.get('revision', 0)
        outcome = self._session.change(command, arguments, revision=revision)
        return self._session.show(outcome)

    def _remove(self, command: str, name: str, revision: int | None) -> str:
        if revision is None:
            record = self._session.record(self.table, self.key_field, name)
            revision = record['revision']
        outcome = self._session.change(
            command, {self.key_field: name}, revision=revision
        )
        return self._session.show(outcome)

    def _find_record(self, name: str) -> dict[str, Any]:
        for record in self._session.records(self.table):
            if record[self.key_field] == name:
                return record
        return {}


class Profiles(_RecordCommands):
    """Profiles: forwarding requirements of a kind of traffic."""

    table = 'profiles'

    def put(
        self, name: str, *, revision: int | None = None, **fields: Any
    ) -> str:
        """Create or edit a profile; omitted fields keep their values."""
        return self._put('profile.put', str(name), fields, revision)

    def delete(self, name: str, *, revision: int | None = None) -> str:
        """Delete a profile that no service uses."""
        return self._remove('profile.delete', str(name), revision)


class Services(_RecordCommands):
    """Services: each picks a profile."""

    table = 'services'

    def put(
        self, name: str, *, revision: int | None = None, **fields: Any
    ) -> str:
        """Create or edit a service: profile, is_open, accounts, version."""
        if 'accounts' in fields:
            fields['accounts'] = _parse_names(fields['accounts'])
        return self._put('service.put', str(name), fields, revision)

    def delete(self, name: str, *, revision: int | None = None) -> str:
        """Delete a service."""
        return self._remove('service.delete', str(name), revision)


class Accounts(_RecordCommands):
    """Client accounts: fleet-wide rate and burst."""

    table = 'accounts'

    def put(
        self, name: str, *, revision: int | None = None, **fields: Any
    ) -> str:
        """Create or edit a client account: rate_per_s and burst."""
        return self._put('account.put', str(name), fields, revision)

    def delete(self, name: str, *, revision: int | None = None) -> str:
        """Delete a client account and all its keys."""
        return self._remove('account.delete', str(name), revision)


class Keys(_RecordCommands):
    """Keys of client accounts; only their hashes are stored."""

    table = 'keys'
    key_field = 'key_hash'

    def issue(self, account: str) -> str:
        """Issue a new key and print it; it cannot be shown again."""
        key = secrets.token_urlsafe(_KEY_BYTES)
        key_hash = hash_key(key)
        outcome = self._session.change(
            'key.add',
            {'key_hash': key_hash, 'account': str(account)},
            revision=0,
        )
        return self._session.show({'key': key, 'key_hash': key_hash, **outcome})

    def revoke(self, key_hash: str) -> str:
        """Revoke a key by its hash or a prefix of its hash."""
        prefix = _hash_prefix(key_hash)
        hashes = [
            record['key_hash']
            for record in self._session.records(self.table)
            if record['key_hash'].startswith(prefix)
        ]
        if len(hashes) != 1:
            raise ValidationError(
                f'{prefix!r} matches {len(hashes)} keys',
                remedy='give more digits; see `oleanderpin key list`',
            )
        return self._remove('key.revoke', hashes[0], None)


class Drains(_RecordCommands):
    """Planned drains of a target, an instance or a failure domain."""

    table = 'drains'

    def start(self, kind: str, name: str) -> str:
        """Start a drain: target, instance or failure_domain, and a name."""
        return self._put('drain.start', str(name), {'kind': kind}, None)

    def cancel(self, name: str) -> str:
        """End a drain; traffic returns gradually."""
        return self._remove('drain.cancel', str(name), None)

    def progress(self) -> str:
        """Show the progress of drains at the responding instance."""
        return self._session.show(
            self._session.client.get('/v1/drains/progress')
        )


class Moves(_RecordCommands):
    """Version moves with a deadline."""

    table = 'moves'
    key_field = 'service'

    def start(
        self,
        service: str,
        to_version: str,
        deadline_s: float,
        *,
        revision: int | None = None,
    ) -> str:
        """Start moving a service to a version within deadline_s seconds."""
        if revision is None:
            revision = self._find_record(str(service)).get('revision', 0)
        outcome = self._session.change(
            'move.start',
            {
                'service': str(service),
                'to_version': str(to_version),
                'deadline_s': deadline_s,
            },
            revision=revision,
        )
        return self._session.show(outcome)

    def cancel(self, service: str, *, reason: str = 'operator') -> str:
        """Cancel a running move and roll it back."""
        outcome = self._session.change(
            'move.finish',
            {
                'service': str(service),
                'status': 'taken_back',
                'reason': reason,
            },
            revision=None,
        )
        return self._session.show(outcome)


class Members:
    """Members of the control group, which replicate the control log."""

    def __init__(self, session: Session) -> None:
        """Keep the session."""
        self._session = session

    def list(self) -> str:
        """List the members with their roles and replication progress."""
        return self._session.show(self._session.client.get('/v1/members'))

    def add(self, peer_address: str) -> str:
        """Add the instance at a peer address, initially as a learner."""
        return self._post('add', {'address': str(peer_address)})

    def remove(self, member_id: str) -> str:
        """Remove a member by its id."""
        return self._post('remove', {'member': str(member_id)})

    def _post(self, action: str, document: dict[str, Any]) -> str:
        path = f'/v1/members/{action}'
        return self._session.show(self._session.client.post(path, document))


class Blocks(_RecordCommands):
    """Client address blocks and the sites that serve them."""

    table = 'blocks'
    key_field = 'cidr'

    def load(self, file: str) -> str:
        """Load lines of ``CIDR site`` from a file, in batches."""
        blocks = dict(_read_blocks(Path(file)))
        remaining = iter(blocks.items())
        while chunk := dict(islice(remaining, _BLOCKS_PER_CHANGE)):
            self._session.change('blocks.put', {'blocks': chunk}, revision=None)
        return self._session.show({'loaded': len(blocks)})


def _hash_prefix(value: Any) -> str:
    # fire parses an unquoted 12e4 as a number, which would match another key.
    if not isinstance(value, str) or not _HASH_PREFIX.match(value):
        raise ValidationError(
            f'{value!r} is not a prefix of a key hash',
            remedy=(
                'give 8 to 64 hexadecimal digits; quote digits that look '
                'like a number, as in \'"12e45678"\''
            ),
        )
    return value


def _parse_names(value: Any) -> tuple[str, ...]:
    parts = value if isinstance(value, list | tuple) else str(value).split(',')
    return tuple(str(part).strip() for part in parts if str(part).strip())


def _read_blocks(path: Path) -> Iterator[tuple[str, str]]:
    try:
        lines = path.read_text(encoding='utf-8').splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise ValidationError(
            f'{path}: cannot be read: {error}', remedy='give a text file'
        ) from error
    for number, line in enumerate(lines, start=1):
        fields = line.split()
        if not fields or fields[0].startswith('#'):
            continue
        try:
            cidr, site = fields
            yield str(ipaddress.ip_network(cidr)), site
        except ValueError as error:
            raise ValidationError(
                f'{path}:{number}: {line!r}: {error}',
                remedy='write a CIDR block and a site on each line',
            ) from None
