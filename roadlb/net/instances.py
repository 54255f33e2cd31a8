"""The grid nodes: connections to them, executions and probes, on aiohttp's client."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from functools import partial

import aiohttp
from yarl import URL

from ..config import Address, Config
from ..counters import Counters
from ..engine import Engine, now_us
from ..exchange import Ending, Execution, Result, Served
from ..log import fields
from ..policy.interface import ServerId
from .connections import InstanceConnector, NoSocketLeft, Spoilt
from .headers import TIME_LEFT, LoadReports, end_to_end

logger = logging.getLogger(__name__)

# Of the time after which an instance drops an idle connection, we keep one at least this part and at most
# twice as long (aiohttp looks for idle ones once in each keep-alive time): a request that crosses the
# closing is a reset, and an order among those is lost.
IDLE_PART = 0.4
PROBE_S = 0.3


class ConnectionBroke(aiohttp.ClientError):
    """A connection ended before an answer began."""

    def __init__(self, sent: bool, cause: Exception) -> None:
        super().__init__(f"{type(cause).__name__}: {cause}")
        self.sent = sent


async def never_resend(request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
                       ) -> aiohttp.ClientResponse:
    """Client middleware that keeps aiohttp from sending a request again by itself.

    The session repeats a GET once when its connection breaks with ClientOSError or ServerDisconnectedError.
    That would be a second copy that nobody has counted, so neither of the two gets as far as the session.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise                              # never connected: the session does not repeat these
    except aiohttp.ClientConnectionResetError as e:
        # Raised only on writing to a connection known to be closed.  With no body left to write behind
        # it, the request's last byte did not go out.
        raise ConnectionBroke(False, e) from e
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as e:
        raise ConnectionBroke(True, e) from e


class Instances:
    """Carries out executions and probes, each in a task of its own on a connection of its own."""

    def __init__(self, config: Config, engine: Engine, counters: Counters) -> None:
        self._engine, self._counters = engine, counters
        self._reports = LoadReports(config.settings.report_fields)
        self._addresses: dict[ServerId, tuple[str, Address]] = {}
        self._tasks: dict[Execution, asyncio.Task[Result]] = {}
        self._probes: set[asyncio.Task[Result]] = set()
        self._connector = InstanceConnector(config.instance_sockets, config.conn_idle_us / 1e6 * IDLE_PART)
        self._session = aiohttp.ClientSession(
            connector=self._connector,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=config.dial_timeout_us / 1e6),
            cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False, middlewares=(never_resend,),
            skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent", "Content-Type"))

    def list_update(self, listed: Mapping[ServerId, tuple[str, Address]], gone: list[ServerId],
                    whole: bool) -> None:
        before = dict(self._addresses)
        if whole:
            self._addresses.clear()
        self._addresses.update(listed)
        for server in gone:
            self._addresses.pop(server, None)
        for server, (_, address) in before.items():
            if self._addresses.get(server, ("", None))[1] != address:
                self._connector.drop(address.host, address.port)

    # The engine's executor

    def start(self, execution: Execution) -> None:
        task = asyncio.get_running_loop().create_task(self._execute(execution))
        self._tasks[execution] = task
        task.add_done_callback(partial(self._ended, execution))

    def cancel(self, execution: Execution) -> None:
        """Give an execution up; its connection is closed, which tells the instance."""
        if task := self._tasks.get(execution):
            task.cancel()

    def probe(self, server: ServerId) -> None:
        task, started = asyncio.get_running_loop().create_task(self._probe(server)), now_us()
        self._probes.add(task)

        def ended(task: asyncio.Task[Result]) -> None:
            self._probes.discard(task)
            self._engine.probe_ended(server, now_us() - started, _result(task))

        task.add_done_callback(ended)

    def _ended(self, execution: Execution, task: asyncio.Task[Result]) -> None:
        del self._tasks[execution]
        self._engine.execution_ended(execution, _result(task))

    async def _execute(self, execution: Execution) -> Result:
        message = execution.exchange.message
        left = execution.until_us - now_us()
        if execution.server not in self._addresses or left <= 0:
            return Result(Ending.NEVER_STARTED)
        headers = [*message.headers, (TIME_LEFT, f"{left / 1e6:.3f}")]
        return await self._fetch(execution.server, message.method, message.target, headers, message.body,
                                 left / 1e6)

    async def _probe(self, server: ServerId) -> Result:
        if server not in self._addresses:
            return Result(Ending.NEVER_STARTED)
        return await self._fetch(server, "GET", "/healthz", [], b"", PROBE_S)

    async def _fetch(self, server: ServerId, method: str, target: str, headers: list[tuple[str, str]],
                     body: bytes, seconds: float) -> Result:
        """One request to one instance; every way in which it can end is told apart here."""
        name, address = self._addresses[server]
        try:
            async with asyncio.timeout(seconds), self._session.request(
                    method, URL(f"http://{address}{target}", encoded=True), headers=headers,
                    data=body or None, allow_redirects=False) as response:
                content = await response.read()
                return self._judge(response, content)
        except Spoilt as e:
            ending, error = Ending.GARBLED, str(e)
        except NoSocketLeft:
            ending, error = Ending.NO_SOCKET, ""
        except aiohttp.ConnectionTimeoutError:
            ending, error = Ending.DIAL_TIMED_OUT, ""
        except aiohttp.ClientConnectorError as e:
            ending, error = Ending.DIAL_FAILED, str(e)
        except ConnectionBroke as e:
            ending, error = Ending.RESET if e.sent else Ending.BROKE_UNSENT, str(e)
        except aiohttp.ClientPayloadError as e:
            ending, error = Ending.CUT_SHORT, str(e)
        except TimeoutError:
            ending, error = Ending.TIMED_OUT, ""
        except (aiohttp.ClientResponseError, ValueError) as e:
            ending, error = Ending.GARBLED, str(e)
        except (aiohttp.ClientError, OSError) as e:
            # Broke within the answer's body, as aiohttp has no other place left for these.
            ending, error = Ending.CUT_SHORT, f"{type(e).__name__}: {e}"
        if ending is not Ending.TIMED_OUT:
            logger.info("execution ended", extra=fields(instance=name, ending=ending.value, error=error))
        return Result(ending)

    def _judge(self, response: aiohttp.ClientResponse, content: bytes) -> Result:
        report = self._reports.read(response.headers)
        if response.status == 200:
            return Result(Ending.SERVED, report, Served(content, end_to_end(response.headers.items())))
        if response.status in (503, 504) and response.headers.get("X-Unprocessed") == "1":
            return Result(Ending.TURNED_AWAY, report)
        return Result(Ending.INSTANCE_ERROR, report)

    async def close(self) -> None:
        for task in [*self._tasks.values(), *self._probes]:
            task.cancel()
        await asyncio.gather(*self._tasks.values(), *self._probes, return_exceptions=True)
        await self._session.close()


def _result(task: asyncio.Task[Result]) -> Result:
    if task.cancelled():
        return Result(Ending.CANCELLED)
    if error := task.exception():
        logger.error("execution failed", exc_info=error)
        return Result(Ending.FAULT)
    return task.result()
