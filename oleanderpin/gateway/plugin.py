"""Gateway plug-in: authorizes requests and routes them to targets."""

import asyncio
import logging
from typing import Any

from ..control.authority import (
    OUTDATED_RETRY_S,
    hash_key,
    require_current,
)
from ..control.state import Account, Configuration
from ..control.view import ControlView
from ..core.clock import monotonic_s
from ..core.errors import Refusal, RefusalDetails
from ..core.event_loop import EventLoop
from ..core.logs import age_ms
from ..core.metrics import (
    EVENTS,
    HELD_BYTES,
    REQUEST_DURATION_S,
    REQUESTS,
)
from ..core.plugin import Plugin, plugins
from ..membership.peers import Peers
from .connection_pool import ConnectionPool
from .dialect import dialects
from .known_gateways import KnownGateways
from .listener import HttpListener, ListenerOptions, StaticLimits
from .messages import CallerRequest, Response, TokenSource, cookie
from .rate_limited_log import RateLimitedLog
from .rates import AccountRateLimiter
from .refusals import not_run_refusal, refusal_response
from .request_forwarder import RequestForwarder, RoutedRequest
from .rewriting import request_id
from .routes import RouteTable, WeightedRoute
from .traffic import TrafficMeter

_LOG = logging.getLogger(__name__)
_MAINTENANCE_INTERVAL_S = 0.25
# Longest wait for a share of the rate, as a fraction of the time left.
_RATE_WAIT_FRACTION = 0.2
_NO_CONFIGURATION_RETRY_S = 0.5
_DRAIN_POLL_S = 0.05
# Time after the start in which an instance learns of all others by gossip.
_MEMBERSHIP_SETTLED_S = 5.0
# Reserved at the end of a drain for delivering the last responses, and of that
# for the end of the process.
_DRAIN_MARGIN_S = 0.5
_EXIT_MARGIN_S = 0.2
_READY_PATH = '/ready'
_READINESS_LIMITS = StaticLimits(max_header_bytes=4096, max_body_bytes=0)
_MAX_READINESS_CONNECTIONS = 64
# Longest time until a body is complete; profiles allow no longer requests.
_MAX_BODY_TIME_S = 3600.0


@plugins.register('gateway')
class Gateway(Plugin):
    """Serves callers and the readiness check."""

    roles = frozenset(('gateway',))

    def __init__(self, kernel: Any) -> None:
        """Create the components; `start` opens the listeners."""
        super().__init__(kernel)
        self._settings = kernel.settings.gateway
        self._loop = kernel.plugin(EventLoop)
        self._view = kernel.plugin(ControlView)
        self._dialect = dialects.get(self._settings.dialect)
        self._log = RateLimitedLog(_LOG)
        self._peers = kernel.plugin(Peers)
        self._known_gateways = KnownGateways(kernel.settings.instance.name)
        self._traffic = TrafficMeter()
        self._forwarder = RequestForwarder(
            kernel,
            self._dialect,
            self._log,
            known_gateways=self._known_gateways,
            pool=ConnectionPool(
                self._settings,
                self._dialect.request_id,
                self._traffic,
                kernel.memory,
            ),
        )
        self._rate_limiter = AccountRateLimiter(kernel, self._traffic)
        self._routes = RouteTable(self._view.state)
        self._indexed_tables = (0, 0)
        self._started_s = kernel.clock.now_s()
        self.listener = HttpListener(
            self.serve,
            ListenerOptions(
                limits=self._limits,
                memory=kernel.memory,
                max_connections=self._settings.max_connections,
                min_delivery_bytes_per_s=(
                    self._settings.min_delivery_bytes_per_s
                ),
                meter=self._traffic,
                admit=self.admit,
                abandon=self.abandon,
                body_time_limit_s=self._body_time_limit_s,
            ),
        )
        self.response_budget = self._forwarder.pool.budget
        self._readiness_listener = HttpListener(
            self._serve_readiness,
            ListenerOptions(
                limits=lambda: _READINESS_LIMITS,
                memory=kernel.memory,
                max_connections=_MAX_READINESS_CONNECTIONS,
            ),
        )
        self._maintenance_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Open the caller and readiness listeners."""
        self._loop.run(self._start())

    def drain(self, *, deadline_s: float) -> None:
        """Finish requests, at most until shortly before the grace period ends.

        New connections are accepted for the lifetime of a lookup, since callers
        may still hold the address of this instance.
        """
        self.listener.is_draining = True
        end_s = self.kernel.clock.now_s() + self._settings.grace_s
        limit_s = min(deadline_s, end_s - _DRAIN_MARGIN_S)
        accept_until_s = self.kernel.clock.now_s() + self._settings.lookup_ttl_s
        while self.kernel.clock.now_s() < min(accept_until_s, limit_s):
            self.kernel.clock.sleep(_DRAIN_POLL_S)
        self._drain_listener(limit_s)
        self._loop.run(self._end_drain())
        self._deliver(min(deadline_s, end_s) - _EXIT_MARGIN_S)

    async def serve(self, request: CallerRequest) -> Response:
        """Return the response to a caller's request."""
        request_key = request_id(request, self._dialect)
        service = ''
        try:
            routed = request.admitted or await self._admit(request, request_key)
            service = routed.service.name
            response = await self._forward(routed)
        except Refusal as refusal:
            response = self._refuse(request, request_key, refusal)
        except Exception:
            _LOG.exception(
                'request failed', extra={'request_id': request_key.decode()}
            )
            response = Response(502)
        self._traffic.add_response(response.status)
        status_class = f'{response.status // 100}xx'
        REQUESTS.labels(service, status_class).inc()
        REQUEST_DURATION_S.labels(service).observe(
            monotonic_s() - request.received_s
        )
        return response

    async def admit(self, request: CallerRequest) -> Response | None:
        """Decide about a request before its body is read.

        Returns
        -------
        Response or None
            The response to a refused request, None for one that is admitted.
        """
        request_key = request_id(request, self._dialect)
        try:
            await self._admit_without_body(request, request_key)
        except Refusal as refusal:
            response = self._refuse(request, request_key, refusal)
            EVENTS.labels('gateway', 'refused_before_body').inc()
            self._traffic.add_response(response.status)
            return response
        return None

    def abandon(self, request: CallerRequest) -> None:
        """Give back the token of a request whose body will not come."""
        if request.admitted is not None:
            self._give_back_token(request.admitted)

    async def _admit_without_body(
        self, request: CallerRequest, request_key: bytes
    ) -> None:
        routed = await self._admit(request, request_key)
        try:
            self._forwarder.require_target(routed)
        except Refusal:
            self._give_back_token(routed)
            raise
        request.admitted = routed

    def _give_back_token(self, routed: RoutedRequest) -> None:
        if routed.account is not None:
            self._rate_limiter.give_back(routed.account, routed.rate_token)

    def _refuse(
        self, request: CallerRequest, request_key: bytes, refusal: Refusal
    ) -> Response:
        self._log_refusal(request, request_key, refusal)
        return refusal_response(refusal, request_key, self._dialect)

    async def _forward(self, routed: RoutedRequest) -> Response:
        try:
            return await self._forwarder.forward(routed)
        except Refusal:
            if not routed.attempts:
                self._give_back_token(routed)
            raise

    def _drain_listener(self, limit_s: float) -> None:
        timeout_s = limit_s - self.kernel.clock.now_s()
        self._loop.run(self.listener.drain(timeout_s=timeout_s))

    def _deliver(self, limit_s: float) -> None:
        timeout_s = limit_s - self.kernel.clock.now_s()
        self._loop.run(self.listener.deliver(timeout_s=timeout_s))

    async def _start(self) -> None:
        await self.listener.listen(self.kernel.settings.listen.caller)
        if self._settings.ready:
            await self._readiness_listener.listen(self._settings.ready)
        loop = asyncio.get_running_loop()
        self._maintenance_task = loop.create_task(self._run_maintenance())

    async def _end_drain(self) -> None:
        self.listener.give_up_blocking()
        for connection in self.listener.connections:
            _LOG.warning(
                'drain ended before a connection',
                extra=connection.state_fields(),
            )

    async def _run_maintenance(self) -> None:
        while not self.kernel.stopping.is_set():
            try:
                self._update_known_gateways()
                self._forwarder.run_maintenance()
                self._rate_limiter.run_maintenance()
                self._note_traffic()
            except Exception:
                # Retried in the next round; if the task ended, idle connections
                # would accumulate.
                _LOG.exception('periodic maintenance failed')
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)

    def _note_traffic(self) -> None:
        HELD_BYTES.set(self.kernel.memory.held_bytes)
        load = self._traffic.link_load(self._settings.link_mbit_per_s)
        self._forwarder.report_link_load(load)
        if self._traffic.is_log_due:
            self._traffic.log(
                connections=len(self.listener.connections),
                unsent_bytes=self.listener.unsent_bytes(),
                held_bytes=self.kernel.memory.held_bytes,
                link_load=round(load, 2),
            )

    def _update_known_gateways(self) -> None:
        self._known_gateways.add(self._live_gateways())
        uptime_s = self.kernel.clock.now_s() - self._started_s
        # An instance that has been cut off since its start knows no others.
        if uptime_s > _MEMBERSHIP_SETTLED_S and self._view.is_fresh():
            self._known_gateways.note_complete()

    def _live_gateways(self) -> list[str]:
        alive = self._peers.alive()
        return [peer.name for peer in alive if 'gateway' in peer.roles]

    async def _serve_readiness(self, request: CallerRequest) -> Response:
        is_ready = (
            request.path() == _READY_PATH
            and self._configuration().number > 0
            and not self._view.is_known_outdated()
            and not self.kernel.draining.is_set()
        )
        return Response(200 if is_ready else 503)

    def _configuration(self) -> Configuration:
        return self._view.state.configuration

    def _limits(self) -> Configuration:
        return self._configuration()

    async def _admit(
        self, request: CallerRequest, request_key: bytes
    ) -> RoutedRequest:
        state = self._view.state
        tables = (id(state.routes), id(state.profiles))
        if tables != self._indexed_tables:
            self._routes = RouteTable(state)
            self._indexed_tables = tables
            self._log.write(
                'configuration in force',
                number=state.configuration.number,
                revision=self._view.revision,
                freshness_age_ms=age_ms(self._view.freshness_age_s()),
            )
        route = self._find_route(request)
        account = self._authorize(request, route)
        profile = route.profile
        deadline_s = request.received_s + min(
            profile.request_timeout_s, self._caller_timeout_s(request)
        )
        rate_token: TokenSource = ''
        if account is not None:
            left_s = deadline_s - monotonic_s()
            try:
                rate_token = await self._rate_limiter.admit(
                    account,
                    deadline_s=deadline_s - left_s * (1 - _RATE_WAIT_FRACTION),
                )
            finally:
                waited_s = left_s - (deadline_s - monotonic_s())
                self._traffic.add_time('rate', waited_s)
        service = state.services[route.next_service()]
        rank = profile.rank
        if account is not None and account.rank is not None:
            rank = account.rank
        return RoutedRequest(
            request=request,
            request_id=request_key,
            route=route,
            service=service,
            account=account,
            regions=_allowed_regions(profile.allowed_regions, account),
            deadline_s=deadline_s,
            rank=rank,
            object_key=self._object_key(request, request_key),
            rate_token=rate_token,
        )

    def _object_key(self, request: CallerRequest, request_key: bytes) -> str:
        """Return the name of the request's object, or else the request id."""
        name = cookie(request.header(b'cookie'), self._dialect.object_cookie)
        return (name or request_key).decode('latin-1')

    def _find_route(self, request: CallerRequest) -> WeightedRoute:
        if not self._configuration().number:
            raise not_run_refusal(
                'no_configuration',
                'this instance has no configuration yet',
                retry_after_s=_NO_CONFIGURATION_RETRY_S,
            )
        if self._view.is_known_outdated():
            raise not_run_refusal(
                'configuration_outdated',
                'other instances have a newer configuration',
                retry_after_s=OUTDATED_RETRY_S,
            )
        route = self._routes.find(request.host(), request.path())
        if route is None:
            require_current(self._view, 'the route')
            raise Refusal(
                'no_route',
                f'no route for {request.host()!r} {request.path()!r}',
                remedy='check host and path',
                details=RefusalDetails(status=404),
            )
        return route

    def _authorize(
        self, request: CallerRequest, route: WeightedRoute
    ) -> Account | None:
        state = self._view.state
        value = request.header(self._dialect.key) or b''
        key = value.removeprefix(self._dialect.key_prefix).strip()
        found = state.keys.get(hash_key(key.decode('latin-1'))) if key else None
        account = state.accounts.get(found.account) if found else None
        if route.route.is_open or not state.accounts:
            return account
        if account is None:
            if key:
                require_current(self._view, 'the key')
            raise Refusal(
                'unknown_key' if key else 'missing_key',
                'the key is unknown or revoked' if key else 'a key is needed',
                remedy='ask the operator for a valid key',
                details=RefusalDetails(status=401),
            )
        accepts_stale_keys = self._settings.serves_when_cut_off
        if not accepts_stale_keys and not self._view.is_fresh():
            raise not_run_refusal(
                'no_fresh_authority',
                'this instance cannot confirm that the key is still valid',
                retry_after_s=1.0,
            )
        return account

    def _caller_timeout_s(self, request: CallerRequest) -> float:
        value = request.header(self._dialect.deadline_ms)
        if value is not None and value.isdigit():
            return int(value) / 1000
        return float('inf')

    def _body_time_limit_s(self, request: CallerRequest) -> float:
        """Return the time after which a request can't be served any more."""
        limit_s = self._caller_timeout_s(request)
        route = self._routes.find(request.host(), request.path())
        if route is not None:
            limit_s = min(limit_s, route.profile.request_timeout_s)
        return min(limit_s, _MAX_BODY_TIME_S)

    def _log_refusal(
        self, request: CallerRequest, request_key: bytes, refusal: Refusal
    ) -> None:
        details = refusal.details
        self._log.write(
            f'refused: {refusal.reason}',
            request_id=request_key.decode('latin-1'),
            host=request.host(),
            path=request.path(),
            problem=refusal.problem,
            status=details.status,
            not_run=details.not_run,
            retry_after_s=details.retry_after_s,
            waited_ms=int((monotonic_s() - request.received_s) * 1000),
            configuration=self._configuration().number,
            **details.log_fields,
        )


def _allowed_regions(
    route_regions: tuple[str, ...], account: Account | None
) -> tuple[str, ...]:
    """Return the regions that both route and account allow; empty for all.

    If they have none in common, the result names no existing region.
    """
    account_regions = account.allowed_regions if account else ()
    if not route_regions or not account_regions:
        return route_regions or account_regions
    common = tuple(each for each in route_regions if each in account_regions)
    return common or ('',)
