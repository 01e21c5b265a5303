"""The lab's models at their limits, its settings files, and its commands run as processes."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from client_peers import Stub, answers, beside_host, hosted, refusal

from sorreldock.lab.directory import Directory, Entry
from sorreldock.lab.engine import Engine, Job, Verdict
from sorreldock.lab.ledger import Ledger
from sorreldock.lab.settings import EngineSettings, LabError, load, router_settings
from sorreldock.wire import decode_settings

ROOT = Path(__file__).parent.parent
SHIPPED_FILES = sorted((ROOT / "deploy" / "lab").glob("*.toml"))
BASIC_ENGINE = EngineSettings(
    batch=2, queue=1, step_s=0.01, crowd=0.0, prompt_tokens_per_s=1000.0, chunk_tokens=100, memory_tokens=1000
)


def job(
    name: str, prompt: int = 100, output: int = 3, shared_prefix: str = "", shared_prefix_tokens: int = 0
) -> Job:
    return Job(name, prompt, output, shared_prefix, shared_prefix_tokens)


def run_engine(engine: Engine, until: float = 1e9) -> dict[str, list[float]]:
    """Run an engine, and return the times of each request's tokens."""
    token_times: dict[str, list[float]] = {}
    while (at := engine.next_at()) is not None and at <= until:
        for output in engine.advance(at):
            token_times.setdefault(output.name, []).append(round(output.at, 6))
    return token_times


def test_a_prompt_is_read_in_chunks_and_then_each_step_generates_a_token() -> None:
    engine = Engine(BASIC_ENGINE)
    assert engine.offer(0.0, job("a", prompt=150)) is Verdict.ACCEPTED
    assert run_engine(engine) == {"a": [0.17, 0.18, 0.19]}  # 0.1 + 0.01, then 0.05 + 0.01: the first token


def test_batch_queue_and_memory_limit_what_an_engine_accepts_and_runs() -> None:
    engine = Engine(BASIC_ENGINE)
    verdicts = [engine.offer(0.0, job(name)) for name in "abcd"]
    # One runs, the others wait for the next step.
    assert verdicts == [Verdict.ACCEPTED] * 3 + [Verdict.ACCEPTED]
    assert engine.offer(0.0, job("a")) is Verdict.DUPLICATE
    engine.advance(0.11)
    assert len(engine.running) == 2 and engine.offer(0.12, job("e")) is Verdict.FULL
    assert engine.offer(0.12, job("f", prompt=2000)) is Verdict.TOO_LARGE
    assert engine.cancel(0.12, "d") and not engine.cancel(0.12, "a")
    engine.drain()
    assert engine.offer(0.13, job("g")) is Verdict.DRAINING
    assert set(run_engine(engine)) == {"a", "b", "c"} and not engine.running and engine.next_at() is None
    small_engine = Engine(BASIC_ENGINE)
    for name in "ab":
        small_engine.offer(0.0, job(name, prompt=590, output=10))
    small_engine.advance(0.2)
    assert list(small_engine.running) == ["a"]  # both together need more memory than the engine has


def test_shared_prefixes_are_cached_and_the_oldest_is_evicted() -> None:
    engine = Engine(BASIC_ENGINE)
    first_token_s = []
    for name, shared_prefix in (("a", "x"), ("b", "x"), ("c", "y"), ("d", "z"), ("e", "x")):
        now = float(len(first_token_s))
        engine.offer(
            now, job(name, prompt=100, output=1, shared_prefix=shared_prefix, shared_prefix_tokens=80)
        )
        first_token_s.append(round(run_engine(engine)[name][0] - now, 6))
    assert first_token_s == [0.11, 0.03, 0.11, 0.11, 0.03]
    tight_engine = Engine(
        EngineSettings(memory_tokens=200, step_s=0.01, prompt_tokens_per_s=1000.0, crowd=0.0)
    )
    for now, shared_prefix in enumerate("xyzx"):
        tight_engine.offer(
            float(now),
            job(f"{now}", prompt=100, output=1, shared_prefix=shared_prefix, shared_prefix_tokens=90),
        )
        cached_tokens = [o.cached_tokens for o in tight_engine.advance(now + 0.9)]
    assert cached_tokens == [0]


def test_a_cold_engine_is_slow_warms_up_and_falls_over_when_overloaded() -> None:
    cold = EngineSettings(
        step_s=0.01,
        crowd=0.0,
        cold_share=0.1,
        warm_up_s=10.0,
        batch=4,
        prompt_tokens_per_s=1000.0,
        fall_multiple=2.0,
        fall_window_s=1.0,
    )
    engine = Engine(cold, started_at=0.0)
    assert (
        engine.speed_share(0.0) == 0.1
        and engine.speed_share(5.0) == pytest.approx(0.55)
        and engine.speed_share(10.0) == 1.0
    )
    assert engine.offer(0.0, job("a", prompt=90, output=1)) is Verdict.ACCEPTED
    assert engine.next_at() == pytest.approx(1.0)  # ten times slower than 0.09 + 0.01
    assert engine.offer(0.0, job("b", prompt=90, output=1)) is Verdict.ACCEPTED
    assert engine.offer(0.5, job("c", prompt=200, output=1)) is Verdict.FALLEN
    assert engine.fallen and engine.offer(9.0, job("d")) is Verdict.FALLEN and engine.next_at() is None
    warm = Engine(cold)
    assert [warm.offer(0.0, job(str(n), prompt=500)) for n in range(4)] == [Verdict.ACCEPTED] * 4


def test_errors_depend_on_the_request_name_and_load_reports_lag() -> None:
    engine = Engine(EngineSettings(fail_share=0.5, report_every_s=0.2))
    verdicts = [engine.offer(0.0, job(str(n))) for n in range(40)]
    other = Engine(EngineSettings(fail_share=0.5))
    assert verdicts == [other.offer(0.0, job(str(n))) for n in range(40)]
    errors = verdicts.count(Verdict.ERROR)
    assert 10 < errors < 30
    assert engine.report(0.0).eps == errors
    engine.offer(0.1, job("late"))
    assert engine.report(0.1).inflight == 40 - errors


def test_changes_become_visible_late_in_order_and_since_a_given_version() -> None:
    directory = Directory(delay_s=1.0)
    directory.publish(0.0, Entry("a", "h:1", "z"))
    directory.publish(0.5, Entry("b", "h:2", "z"))
    directory.set_state(0.9, "a", "Terminating")
    assert directory.full_list(0.9)["targets"] == [] and directory.changes_since(0.9, 0) is None
    assert directory.next_change_at(0.9) == 1.0
    assert [t["uid"] for t in directory.full_list(1.5)["targets"]] == ["a", "b"]
    assert directory.changes_since(1.5, 1)["targets"][0]["uid"] == "b"  # type: ignore[index]
    assert directory.full_list(2.0)["targets"][0]["state"] == "Terminating"
    directory.set_state(2.0, "a", "Gone")
    assert [t["uid"] for t in directory.full_list(3.0)["targets"]] == ["b"]
    assert directory.changes_since(3.0, 99)["all"]  # type: ignore[index]
    with pytest.raises(KeyError):
        directory.set_state(3.0, "c", "Gone")
    with pytest.raises(ValueError):
        directory.publish(3.0, Entry("c", "h:3", "z", state="Lost"))


def test_the_ledger_counts_overlapping_attempts() -> None:
    ledger = Ledger()
    for key in ("a", "b", "a"):
        ledger.begin(key)
    ledger.end("a")
    ledger.end("a")
    ledger.begin("a")
    assert (ledger.attempts, ledger.overlaps, ledger.max_open) == (4, 1, 2)


@pytest.mark.parametrize("path", SHIPPED_FILES, ids=lambda path: path.stem)
def test_the_shipped_files_are_valid_and_yield_router_settings(path: Path) -> None:
    fleet = load(path)
    settings = decode_settings(router_settings(fleet, 0, 2, fleet.zones[0]))
    assert [c.name for c in settings.classes] == [c.name for c in fleet.classes]


MINIMAL_FLEET = (
    'name = "x"\nzones = ["z"]\nengines = [{kind = "g"}]\n'
    'classes = [{name = "c", aim_s = 1, deadline_s = 2}]\n'
)


@pytest.mark.parametrize(
    "old, new, message",
    [
        ('name = "x"\n', "", "missing required field `name`"),
        ("zones", "colour = 1\nzones", "unknown field `colour`"),
        ('"x"', "3", "Expected `str`"),
        ('["z"]', "[]", "length >= 1"),
        ('["z"]', '["z", "z"]', "zones: duplicate name"),
        ('"g"', '"g", zone = "y"', "zone y is not among the zones"),
        ('"g"', '"g", step_s = 0', "float` > 0"),
        ('"g"', '"g', "line 3"),
    ],
)
def test_the_error_of_an_invalid_file_is_one_line(tmp_path: Path, old: str, new: str, message: str) -> None:
    path = tmp_path / "f.toml"
    path.write_text(MINIMAL_FLEET)
    load(path)
    path.write_text(MINIMAL_FLEET.replace(old, new, 1))
    with pytest.raises(LabError) as error:
        load(path)
    assert message in str(error.value) and "\n" not in str(error.value)


def test_a_command_with_a_missing_file_exits_with_status_2(tmp_path: Path) -> None:
    result = command("lab", "check", str(tmp_path / "none.toml"))
    assert (result.returncode, result.stderr.count("\n")) == (2, 1) and result.stderr.startswith(
        "sorreldock: "
    )


def command(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sorreldock", *words], cwd=ROOT, capture_output=True, text=True, timeout=60
    )


@beside_host
def test_the_exit_status_of_ask_tells_the_outcome() -> None:
    def ask(*words: str) -> tuple[int, list[dict[str, object]]]:
        result = command("ask", "--json", "--timeout", "2", "--retries", "0", *words, "a flooded street")
        return result.returncode, [json.loads(line) for line in result.stdout.splitlines()]

    event = b'data: {"choices":[{"delta":{"content":"a street"}}]}\n\n'
    events = event + b"data: [DONE]\n\n"
    answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (
        len(events),
        events,
    )
    cut_answer = answer[: answer.index(b"0\r\n\r\n")].replace(
        b"transfer-encoding: chunked", b"content-length: 999"
    )
    with hosted(Stub(answers(answer)).running()) as stub:
        status, records = ask("--router", stub.address)
        assert status == 0 and records[0]["text"] == "a street"
        assert (records[-1]["outcome"], records[-1]["attempts"]) == ("answered", 1)
    with hosted(Stub(answers(refusal("9"))).running()) as stub:
        status, records = ask("--router", stub.address)
        assert status == 3 and records[0]["retry_after_s"] == 9.0
    with hosted(Stub(answers(refusal("", 500))).running()) as stub:
        assert ask("--router", stub.address)[0] == 4

    async def cut_off(stub: Stub, stream: object) -> None:
        await stub.request(stream)
        await stream.send_all(cut_answer)  # type: ignore[attr-defined]

    with hosted(Stub(cut_off).running()) as stub:
        assert ask("--router", stub.address)[0] == 5
    assert ask("--router", "nowhere")[0] == 2
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        assert ask("--router", f"127.0.0.1:{port}", "--timeout", "0.3")[0] == 6


def test_a_killed_routers_unsafe_requests_are_not_run_twice() -> None:
    result = command("lab", "kill", "--moments", "1", "--json")
    figures = json.loads(result.stdout)
    assert result.returncode == 0, figures
    assert list(figures) == ["http fin", "http reset", "kserve fin", "kserve reset"]
    for side in figures.values():
        assert (side["kills"], side["requests"], side["run_twice"]) == (1, 8, 0)
        assert side["answered"] + side["may_have_run"] + side["failed"] == 8


def test_the_demo_starts_soon_answers_requests_and_leaves_no_process_behind() -> None:
    demo = subprocess.Popen(
        [sys.executable, "-m", "sorreldock", "demo"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "SORRELDOCK_RUN": f"{sys.executable} -m sorreldock"},
    )
    assert demo.stdout is not None
    lines = []
    while not lines or not lines[-1].startswith("Ctrl-C"):
        line = demo.stdout.readline()
        assert line, lines
        lines.append(line)
    assert float(lines[0].split()[2]) < 5.0  # ready in N s
    children = subprocess.run(["ps", "-o", "pid=", "--ppid", str(demo.pid)], capture_output=True, text=True)
    pids = [int(pid) for pid in children.stdout.split()]
    assert len(pids) == 3  # the fleet and two routers
    for line in lines:
        if line.startswith("  ") and "ask" in line:
            result = subprocess.run(line, shell=True, cwd=ROOT, capture_output=True, text=True, timeout=30)
            assert result.returncode == 0 and len(result.stdout) > 100, result.stderr
    demo.send_signal(signal.SIGINT)
    assert demo.wait(30) == 0
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)
