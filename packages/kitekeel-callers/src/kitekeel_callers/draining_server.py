"""CherryPy's server with a stop that drops no request that has arrived.

The library's stop loses requests in these places; each is dealt with here:

- connections that wait to be accepted are reset with the listening socket;
- a worker may return a connection at any time: before the idle ones are closed (the library closes
  it unread), while they are, or afterwards (it would be registered where nobody looks again);
- a connection that is queued behind the workers' shutdown markers is never served, and neither is
  one that found the queue full.
"""

from __future__ import annotations

import queue
import threading

from cheroot import wsgi
from cheroot.connections import ConnectionManager
from cheroot.workers.threadpool import ThreadPool

from kitekeel_callers.kept_connection import KeptConnection


class DrainingServer(wsgi.Server):
    """Answers every request that has arrived when it is told to stop.

    Args:
        address: host and port.
        application: a WSGI application.
        threads: number of worker threads.
        accepted_queue_size: most connections that wait for a worker.
        accepted_queue_timeout: seconds for which a full queue is waited for.
        backlog: most connections that wait to be accepted.
        idle_timeout: seconds after which an idle connection is closed.
        server_name: stated to the application.
    """

    ConnectionClass = KeptConnection
    # Set by prepare() and the constructor of the library's class.
    _connections: ConnectionManager
    _unservicable_conns: queue.Queue[object]

    def __init__(
        self,
        address: tuple[str, int],
        application: object,
        *,
        threads: int,
        accepted_queue_size: int,
        accepted_queue_timeout: int,
        backlog: int,
        idle_timeout: int,
        server_name: str,
    ) -> None:
        super().__init__(
            address,
            application,
            server_name=server_name,
            request_queue_size=backlog,
            timeout=idle_timeout,
        )
        self.requests = _DrainingThreadPool(
            self,
            min=threads,
            accepted_queue_size=accepted_queue_size,
            accepted_queue_timeout=accepted_queue_timeout,
        )
        self._stop_lock = threading.Lock()
        self._is_stopping = False
        # Connections that workers returned since the stop began; None once these are closed.
        self._returned: list[KeptConnection] | None = []
        self._left_over: queue.SimpleQueue[KeptConnection] = queue.SimpleQueue()

    def put_conn(self, conn: KeptConnection) -> None:
        """Take a connection back from a worker; called by the workers."""
        with self._stop_lock:
            if not self._is_stopping:
                self._connections.put(conn)
                return
            if self._returned is not None:
                self._returned.append(conn)
                return
        self._serve_and_close(conn)

    def process_conn(self, conn: KeptConnection) -> None:
        """Queue a connection for the workers; serve it later if the queue is full at the stop."""
        if not self._is_stopping:
            super().process_conn(conn)
            return
        try:
            self.requests.put(conn)
        except queue.Full:
            self._left_over.put(conn)

    def stop(self) -> None:
        """Answer what has arrived, close all connections and end the worker threads."""
        if not self.ready:
            return
        with self._stop_lock:
            self._is_stopping = True
        self._connections.stop()
        self._accept_waiting()
        self.socket.close()
        self.socket = None
        super().stop()

    def close_returned(self) -> None:
        """Close the connections that workers returned, or queue them if they have a request."""
        with self._stop_lock:
            returned, self._returned = self._returned or [], None
        for conn in returned:
            conn.close()

    def serve_left_over(self) -> None:
        """Serve the connections that no worker took before it ended."""
        for take in (self.requests.get, self._left_over.get, self._unservicable_conns.get):
            while True:
                try:
                    conn = take(block=False)
                except queue.Empty:
                    break
                # The queues also hold the library's markers for the ends of its threads.
                if isinstance(conn, KeptConnection):
                    self._serve_and_close(conn)

    def _accept_waiting(self) -> None:
        """Queue the connections that the kernel has established already."""
        self.socket.setblocking(False)
        while True:
            try:
                accepted, address = self.socket.accept()
            except OSError:
                # None is left, or none can be had, as without a free descriptor.
                return
            accepted.settimeout(self.timeout)
            conn = self.ConnectionClass(self, accepted)
            conn.remote_addr, conn.remote_port = address[:2]
            conn.ssl_env = {}
            self.process_conn(conn)

    def _serve_and_close(self, conn: KeptConnection) -> None:
        """Serve the requests that have arrived on a connection, on the calling thread."""
        try:
            while conn.has_request() and conn.communicate():
                continue
        except Exception as error:
            self.error_log(f"cannot serve a connection at the stop: {error!r}", traceback=True)
        finally:
            conn.close()


class _DrainingThreadPool(ThreadPool):
    """Workers of a :class:`DrainingServer`; their end is the last step of the server's stop."""

    server: DrainingServer

    def stop(self, timeout: int = 5) -> None:
        """End the workers; called after the idle connections have been closed."""
        self.server.close_returned()
        super().stop(timeout)
        self.server.serve_left_over()
