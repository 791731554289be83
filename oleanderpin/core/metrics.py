"""Prometheus metrics shared by all plug-ins.

Metrics are registered in the process-wide default registry of
``prometheus_client``; labels carry the reason of each refusal and retry.
"""

from prometheus_client import Counter, Gauge, Histogram

REFUSALS = Counter(
    'oleanderpin_refusals_total', 'Refused requests by reason.', ['reason']
)
RETRIES = Counter(
    'oleanderpin_retries_total', 'Repeated attempts by reason.', ['reason']
)
TARGETS_LEFT_OUT = Counter(
    'oleanderpin_targets_left_out_total',
    'Targets that a request could not be sent to, by reason.',
    ['reason'],
)
REQUESTS = Counter(
    'oleanderpin_requests_total',
    'Answered requests by service and status class.',
    ['service', 'status_class'],
)
REQUEST_DURATION_S = Histogram(
    'oleanderpin_request_duration_seconds',
    'Time from the request line to the last byte of the answer.',
    ['service'],
    buckets=(0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10),
)
REQUEST_PART_S = Histogram(
    'oleanderpin_request_part_seconds',
    'Time of a request waiting for its rate, for a connection, for a target.',
    ['part'],
    buckets=(0.002, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10),
)
TOKEN_WAIT_S = Histogram(
    'oleanderpin_token_wait_seconds',
    "Wait for a token of a limited account's rate, by kind of account.",
    ['kind', 'result'],
    buckets=(0.002, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10),
)
OWNER_CALLS = Counter(
    'oleanderpin_owner_calls_total',
    'Calls to control instances for tokens of small accounts, by result.',
    ['result'],
)
OWNER_CALL_S = Histogram(
    'oleanderpin_owner_call_seconds',
    'Time of a call to a control instance for tokens of small accounts.',
    ['result'],
    buckets=(0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1),
)
GATEWAY_BYTES = Counter(
    'oleanderpin_gateway_bytes_total',
    'Bytes of requests and responses by leg.',
    ['leg'],
)
LOOKUPS = Counter(
    'oleanderpin_lookups_total', 'Answered look-ups by service.', ['service']
)
HELD_BYTES = Gauge(
    'oleanderpin_held_bytes',
    'Memory held for callers and targets, as counted by its budget.',
)
CONTROL_REVISION = Gauge(
    'oleanderpin_control_revision', 'Revision of the applied control state.'
)
PEER_BYTES = Counter(
    'oleanderpin_peer_bytes_total',
    'Bytes exchanged with peers by direction.',
    ['direction'],
)
PEER_CALL_BYTES = Counter(
    'oleanderpin_peer_call_bytes_total',
    'Bytes of calls made to peers, by call and by the border they cross.',
    ['call', 'border'],
)
EVENT_LOOP_LATE_S = Histogram(
    'oleanderpin_event_loop_late_seconds',
    'By how much a timer of the event loop ran late, ten times a second.',
    buckets=(0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10),
)
EVENTS = Counter(
    'oleanderpin_events_total',
    'Internal events by concern and name.',
    ['concern', 'event'],
)
