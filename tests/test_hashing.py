from magpiefront.hashing import nth_hash, splitmix64, text_hash, unit_interval

import subprocess
import sys


def test_splitmix64_matches_published_vectors() -> None:
    assert splitmix64(0) == 0xE220A8397B1DCDAF
    assert splitmix64(0x9E3779B97F4A7C15) == 0x6E789E6AA1B965F4
    assert nth_hash(0, 2) == 0x06C45D188009454F


def test_hashes_are_the_same_in_every_process() -> None:
    code = (
        "from magpiefront.hashing import *; print(text_hash('10.0.0.1:7000'), splitmix64(7), nth_hash(7, 3))"
    )
    processes = [
        subprocess.run(
            [sys.executable, "-c", code], env={"PYTHONHASHSEED": hash_seed}, capture_output=True, text=True
        )
        for hash_seed in ("1", "2")
    ]
    expected = f"{text_hash('10.0.0.1:7000')} {splitmix64(7)} {nth_hash(7, 3)}\n"
    assert [process.stdout for process in processes] == [expected, expected]


def test_text_hash_is_blake2b() -> None:
    assert text_hash("") == 0xE4A6A0577479B2B4


def test_unit_interval_is_uniform() -> None:
    low = sum(unit_interval(splitmix64(i)) < 0.25 for i in range(4000))
    assert 900 < low < 1100 and unit_interval(0) >= 0 and unit_interval((1 << 64) - 1) < 1
