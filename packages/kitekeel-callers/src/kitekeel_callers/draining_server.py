"""CherryPy's HTTP server with a graceful stop that answers every request that has arrived.

The library's own stop loses requests in these cases, which are handled here:

- Closing the listening socket resets the connections that wait to be accepted.
- A worker may return a connection at any time: before the idle connections are closed (the library
  closes it unread), while they are being closed, or afterwards (the library registers it, but no
  longer polls it).
- A connection that is queued behind the workers' shutdown markers is never served, nor is one that
  found the queue full.
"""

from __future__ import annotations

import queue
import threading

from cheroot import wsgi
from cheroot.connections import ConnectionManager
from cheroot.server import _STOPPING_FOR_INTERRUPT  # type: ignore[attr-defined]

from kitekeel_callers.kept_connection import KeepAliveConnection


class DrainingServer(wsgi.Server):
    """Answers every request that has arrived before it stops."""

    ConnectionClass = KeepAliveConnection
    # Set by prepare() and the constructor of the library's class.
    _connections: ConnectionManager
    _unservicable_conns: queue.Queue[object]

    # The library's type stub does not declare arguments of these types.
    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self._stop_lock = threading.Lock()
        self._is_stopping = False
        # Connections that workers have returned since the stop began; None once they are closed.
        self._returned: list[KeepAliveConnection] | None = []
        self._overflow: queue.SimpleQueue[KeepAliveConnection] = queue.SimpleQueue()

    def put_conn(self, conn: KeepAliveConnection) -> None:
        """Take a connection back from a worker; called by the workers."""
        if conn.rfile.has_data():
            self.process_conn(conn)
            return
        with self._stop_lock:
            if not self._is_stopping:
                self._connections.put(conn)
                return
            if self._returned is not None:
                self._returned.append(conn)
                return
        self._serve_and_close(conn)

    def process_conn(self, conn: KeepAliveConnection) -> None:
        """Queue a connection for the workers; if the queue is full at the stop, serve it later."""
        if not self._is_stopping:
            super().process_conn(conn)
            return
        try:
            self.requests.put(conn)
        except queue.Full:
            self._overflow.put(conn)

    def stop(self) -> None:
        """Answer the requests that have arrived, close all connections and end the worker threads.

        Replaces the library's stop, which has no hooks for the additional steps.
        """
        with self._stop_lock:
            if self._is_stopping or not self.ready:
                return
            self._is_stopping = True
        self.ready = False
        self._connections.stop()
        self._accept_pending()
        self.socket.close()
        self.socket = None
        self._connections.close()
        self._close_returned()
        self.requests.stop(self.shutdown_timeout)
        self._serve_queued()
        # Ends the library's thread that rejects excess connections, if it is still waiting for one.
        self._unservicable_conns.put(_STOPPING_FOR_INTERRUPT)

    def _accept_pending(self) -> None:
        """Accept and queue the connections that the kernel has already established."""
        self.socket.setblocking(False)
        while True:
            try:
                accepted, address = self.socket.accept()
            except ConnectionAbortedError:
                # This caller has disconnected; more connections may be pending.
                continue
            except OSError:
                # No connection is pending, or none can be accepted, for example because no file
                # descriptor is free.
                return
            accepted.settimeout(self.timeout)
            conn = self.ConnectionClass(self, accepted)
            conn.remote_addr, conn.remote_port = address[:2]
            conn.ssl_env = {}
            self.process_conn(conn)

    def _close_returned(self) -> None:
        """Close the connections that workers returned, or queue those with a pending request."""
        with self._stop_lock:
            returned, self._returned = self._returned or [], None
        for conn in returned:
            conn.close()

    def _serve_queued(self) -> None:
        """Serve the connections that were still queued when the workers ended."""
        for get_connection in (self.requests.get, self._overflow.get, self._unservicable_conns.get):
            while True:
                try:
                    conn = get_connection(block=False)
                except queue.Empty:
                    break
                # The queues also hold the library's shutdown markers for its threads.
                if isinstance(conn, KeepAliveConnection):
                    self._serve_and_close(conn)

    def _serve_and_close(self, conn: KeepAliveConnection) -> None:
        """Serve the requests that have arrived on a connection, on the calling thread."""
        try:
            while conn.has_request() and conn.communicate():
                continue
        except Exception as error:
            self.error_log(
                f"error while serving a connection during the stop: {error!r}", traceback=True
            )
        finally:
            conn.close()
