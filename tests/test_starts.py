"""Every start that the pages allow starts, with real processes: memory, descriptors and lists of nodes."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from standins.crowd import CLASSES
from standins.world import ROOT, free_port
from tests.sockets import PROXY_SETTINGS

PEAK_SHARE = 0.95  # of the limit, the most that a process may take


def settings_file(folder: Path, port: int, memory_mb: int, sockets: int, nodes: int) -> Path:
    """Writes the settings of a proxy whose nodes don't answer."""
    entries = [
        {"instanceId": f"s-{n}", "hostPort": f"127.0.{n // 250}.{n % 250 + 1}:9", "zone": "a",
         "lifecycle": "Ready"}
        for n in range(nodes)
    ]  # fmt: skip
    given: dict[str, Any] = {
        "name": "p", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{free_port()}", "seed": 1,
        "limits": {"cores": 0.33, "memory_mb": memory_mb, "sockets": sockets},
        "known": {"generation": 1, "reset": True, "instances": entries},
        "settings": {**PROXY_SETTINGS, "grades": CLASSES},
    }  # fmt: skip
    path = folder / "proxy.json"
    path.write_text(json.dumps(given))
    return path


def ask_until_ready(port: int, process: subprocess.Popen[str]) -> int:
    """Asks for `/ready` until there is an answer, and returns its status; 0 if the process ends."""
    while process.poll() is None:
        try:
            with socket.create_connection(("127.0.0.1", port), 5) as client:
                client.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return int(client.recv(4096).split()[1])
        except OSError:
            time.sleep(0.02)
    return 0


@pytest.mark.parametrize(
    ("memory_mb", "sockets", "nodes"),
    [(32, 256, 0), (32, 1024, 17), (32, 1024, 3200), (48, 384, 17), (64, 1024, 3200), (192, 1024, 3200),
     (192, 256, 6)],
)  # fmt: skip
def test_no_memory_that_the_pages_name_ends_a_process_at_its_start(
    tmp_path: Path, memory_mb: int, sockets: int, nodes: int
) -> None:
    port = free_port()
    path = settings_file(tmp_path, port, memory_mb, sockets, nodes)
    process = subprocess.Popen(
        [sys.executable, "-m", "magpiefront"], cwd=ROOT, stderr=subprocess.PIPE, text=True,
        env={**os.environ, "LB_CONFIG": str(path)},
    )  # fmt: skip
    try:
        assert ask_until_ready(port, process) == 200
        status = Path(f"/proc/{process.pid}/status").read_text()
        peak_kb = int(status.split("VmHWM:")[1].split()[0])
        if (memory_mb, nodes) != (32, 3200):  # which takes 31 MB at rest
            assert peak_kb <= memory_mb * 1024 * PEAK_SHARE
    finally:
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate(timeout=20)
    assert process.returncode == 0 and "Traceback" not in errors
    assert errors.count("is too little") <= 1


def test_a_log_that_nobody_reads_any_more_costs_no_request_its_answer(tmp_path: Path) -> None:
    port = free_port()
    process = subprocess.Popen(
        [sys.executable, "-m", "magpiefront"], cwd=ROOT, stderr=subprocess.PIPE, text=True,
        env={**os.environ, "LB_CONFIG": str(settings_file(tmp_path, port, 64, 1024, 0))},
    )  # fmt: skip
    try:
        assert ask_until_ready(port, process) == 200
        assert process.stderr is not None
        process.stderr.close()
        for _ in range(3):
            with socket.create_connection(("127.0.0.1", port), 5) as client:
                client.settimeout(5)
                client.sendall(b"GET /nothing/ HTTP/1.1\r\nHost: x\r\n\r\n")
                assert client.recv(4096).startswith(b"HTTP/1.1 404")
        assert process.poll() is None
    finally:
        process.terminate()
        process.wait(timeout=20)
    assert process.returncode == 0


def test_a_proxy_without_an_operators_file_loads_no_openssl(tmp_path: Path) -> None:
    port = free_port()
    process = subprocess.Popen(
        [sys.executable, "-m", "magpiefront"], cwd=ROOT, stderr=subprocess.PIPE, text=True,
        env={**os.environ, "LB_CONFIG": str(settings_file(tmp_path, port, 32, 1024, 17))},
    )  # fmt: skip
    try:
        assert ask_until_ready(port, process) == 200
        mapped = Path(f"/proc/{process.pid}/maps").read_text()
        assert "libssl" not in mapped and "libcrypto" not in mapped
    finally:
        process.terminate()
        process.communicate(timeout=20)


def test_the_event_loop_is_imported_as_usual_if_uvloop_needs_more_of_ssl() -> None:
    program = (
        "from magpiefront import without_tls as w; w.ERROR_NUMBERS = {}; w.import_event_loop()\n"
        "import uvloop, ssl, asyncio; assert ssl.SSLContext and asyncio.sslproto.ssl is ssl"
    )
    subprocess.run([sys.executable, "-c", program], cwd=ROOT, check=True, timeout=60)
