"""Latency that one entry VM adds between a client and an engine, and the processor time and memory that it uses.

Sends the same load first directly to the stand-in engine and then through one entry VM.
"""

import argparse
import json
import os
import resource
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts"))
from fleet import BIN, Fleet, small_document, vm_record  # noqa: E402

PLATFORM = "127.0.0.1:22000"
ENGINE = "127.0.0.1:22001"
VM_BASE = 22100
MS_PER_TOKEN = 62
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def document_with_one_engine(slots):
    """The small document with the engines of region ost only, all at the address of one stand-in."""
    document = small_document()
    document["upstreams"] = {name: upstream for name, upstream in document["upstreams"].items()
                             if upstream["region"] == "ost" and upstream["kind"] == "engine"}
    for upstream in document["upstreams"].values():
        upstream["address"] = ENGINE
        upstream["slots"] = slots
    for partner in document["partners"].values():
        for class_settings in partner["classes"].values():
            class_settings["max_queue"] = 2000
    return document


def run_load(url, options):
    """Returns the JSON result and the exit code of cornelplank-load."""
    args = [f"{BIN}/cornelplank-load", "--url", url, "--key", "demo-clerks-ost", "--model", "letter-8b", "--json",
            "--prompt-tokens", "100"] + options
    process = subprocess.run(args, stdout=subprocess.PIPE, check=False, text=True)
    return json.loads(process.stdout.strip().splitlines()[-1]), process.returncode


def usage(process):
    """Returns (processor seconds since the start, peak resident MB) of a process."""
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
        peak = next(int(line.split()[1]) for line in file if line.startswith("VmHWM"))
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, peak / 1024


def print_row(name, result):
    """Prints the quantiles of one run, in ms."""
    def cells(kind):
        values = result.get(kind) or {}
        return " ".join(f"{values.get(q, 0):9.2f}" for q in ("p50", "p95", "p99", "max"))
    print(f"{name:28} first token {cells('first_token_ms')}  between {cells('between_tokens_ms')}")


def compare(title, vm, options):
    """Prints both runs and their difference. Returns whether all answers of both were right."""
    print(title)
    run_load("http://" + ENGINE, options)  # fills the prefix cache, so that it is warm in both measured runs
    direct, direct_code = run_load("http://" + ENGINE, options)
    cpu_before_s, _ = usage(vm)
    through, through_code = run_load(f"http://127.0.0.1:{VM_BASE}", options)
    cpu_after_s, peak_mb = usage(vm)
    print_row("  straight to the engine", direct)
    print_row("  through the entry VM", through)
    for kind in ("first_token_ms", "between_tokens_ms"):
        if direct.get(kind) and through.get(kind):
            print(f"  added {kind}: " + ", ".join(
                f"{q} {through[kind][q] - direct[kind][q]:+.2f}" for q in ("p50", "p95", "p99")))
    tokens = through.get("tokens") or 0
    per_token = f", {(cpu_after_s - cpu_before_s) / tokens * 1e6:.1f} us a token" if tokens else ""
    print(f"  entry VM: {cpu_after_s - cpu_before_s:.2f} s of processor time{per_token}, peak memory {peak_mb:.1f} MB")
    print(f"  results straight: {direct.get('results')}, through: {through.get('results')}")
    return direct_code == 0 and through_code == 0


def run(title, ms_per_token, options):
    """Starts the system with an engine of `ms_per_token` and compares."""
    with tempfile.TemporaryDirectory(prefix="cornelplank-bench-") as folder:
        fleet = Fleet(folder, PLATFORM)
        try:
            document = document_with_one_engine(slots=1000)
            fleet.start_platform(document, [vm_record("gavekvittering", "ost", 1, VM_BASE)])
            fleet.start_upstreams(document, "--ms-per-token", str(ms_per_token), "--batch-slowdown", "0")
            vm = fleet.start_vm("gavekvittering", "ost", 1, VM_BASE, "")
            fleet.wait_until_serving(zones=1)
            return compare(title, vm, options)
        finally:
            fleet.stop()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--duration-ms", type=int, default=15000)
    parser.add_argument("--streams", type=int, default=750)
    args = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (8192, 8192))
    duration = ["--duration-ms", str(args.duration_ms)]
    print("times in ms: p50 p95 p99 max")
    # 1 ms per token, because a slower engine would hide what the entry VM adds to the first token.
    ok = run("50 requests/s, streams of 16 tokens at 1 ms", 1, ["--rate", "50", "--max-tokens", "16"] + duration)
    ok = run(f"{args.streams} open streams of 100 tokens at {MS_PER_TOKEN} ms", MS_PER_TOKEN,
             ["--streams", str(args.streams), "--max-tokens", "100"] + duration) and ok
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
