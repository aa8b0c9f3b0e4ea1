"""A kitekeeld of a test as a process of its own, without a platform or other daemons."""

import subprocess
import time
from pathlib import Path

from loopback import free_address

from kitekeel_lab.child_process import start_python
from kitekeel_lab.deployment import DaemonSpec, settings_text


class LoneDaemon:
    """A kitekeeld without a platform or others."""

    def __init__(self, folder: Path) -> None:
        self._log = folder / "d1.log"
        self._settings = folder / "d1.ini"
        spec = DaemonSpec("d1", "north", "n1", 1, free_address(), free_address(), free_address())
        self._settings.write_text(settings_text(spec, free_address(), [], None))

    def start(self, arguments: list[str]) -> subprocess.Popen[bytes]:
        with self._log.open("wb") as log:
            return start_python([*arguments, str(self._settings)], log)

    def has_logged(self, message_type: str) -> bool:
        return f'"{message_type}"' in self._log.read_text()

    def wait_logged(self, message_type: str, seconds: float) -> bool:
        deadline = time.monotonic() + seconds
        while not self.has_logged(message_type) and time.monotonic() < deadline:
            time.sleep(0.02)
        return self.has_logged(message_type)
