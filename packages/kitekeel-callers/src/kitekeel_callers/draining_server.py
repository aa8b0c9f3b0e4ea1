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
from cheroot.server import _STOPPING_FOR_INTERRUPT  # type: ignore[attr-defined]

from kitekeel_callers.kept_connection import KeptConnection


class DrainingServer(wsgi.Server):
    """Answers every request that has arrived when it is told to stop."""

    ConnectionClass = KeptConnection
    # Set by prepare() and the constructor of the library's class.
    _connections: ConnectionManager
    _unservicable_conns: queue.Queue[object]

    # The library's type stub has no arguments with these types.
    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self._stop_lock = threading.Lock()
        self._is_stopping = False
        # Connections that workers returned since the stop began; None once these are closed.
        self._returned: list[KeptConnection] | None = []
        self._left_over: queue.SimpleQueue[KeptConnection] = queue.SimpleQueue()

    def put_conn(self, conn: KeptConnection) -> None:
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
        """Answer what has arrived, close all connections and end the worker threads.

        Takes the place of the library's stop, whose steps leave no room for those added here.
        """
        with self._stop_lock:
            if self._is_stopping or not self.ready:
                return
            self._is_stopping = True
        self.ready = False
        self._connections.stop()
        self._accept_waiting()
        self.socket.close()
        self.socket = None
        self._connections.close()
        self._close_returned()
        self.requests.stop(self.shutdown_timeout)
        self._serve_left_over()
        # Ends the library's thread that refuses connections, if it still waits for one.
        self._unservicable_conns.put(_STOPPING_FOR_INTERRUPT)

    def _accept_waiting(self) -> None:
        """Queue the connections that the kernel has established already."""
        self.socket.setblocking(False)
        while True:
            try:
                accepted, address = self.socket.accept()
            except ConnectionAbortedError:
                # This caller has left; others may wait behind it.
                continue
            except OSError:
                # None is left, or none can be had, as without a free descriptor.
                return
            accepted.settimeout(self.timeout)
            conn = self.ConnectionClass(self, accepted)
            conn.remote_addr, conn.remote_port = address[:2]
            conn.ssl_env = {}
            self.process_conn(conn)

    def _close_returned(self) -> None:
        """Close the connections that workers returned, or queue them if they have a request."""
        with self._stop_lock:
            returned, self._returned = self._returned or [], None
        for conn in returned:
            conn.close()

    def _serve_left_over(self) -> None:
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

    def _serve_and_close(self, conn: KeptConnection) -> None:
        """Serve the requests that have arrived on a connection, on the calling thread."""
        try:
            while conn.has_request() and conn.communicate():
                continue
        except Exception as error:
            self.error_log(f"cannot serve a connection at the stop: {error!r}", traceback=True)
        finally:
            conn.close()
