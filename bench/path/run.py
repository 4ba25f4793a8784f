"""Latency that one entry VM adds between a client and an engine, and what it costs.

Runs the same load first straight against the stand-in engine and then through one entry VM.
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
    document = small_document()
    document["upstreams"] = {name: upstream for name, upstream in document["upstreams"].items()
                             if upstream["region"] == "ost" and upstream["kind"] == "engine"}
    for upstream in document["upstreams"].values():
        upstream["address"] = ENGINE
        upstream["slots"] = slots
    for partner in document["partners"].values():
        for terms in partner["classes"].values():
            terms["max_queue"] = 2000
    return document


def load(url, options):
    args = [f"{BIN}/cornelplank-load", "--url", url, "--key", "demo-clerks-ost", "--model", "letter-8b", "--json",
            "--prompt-tokens", "100"] + options
    done = subprocess.run(args, stdout=subprocess.PIPE, check=False, text=True)
    return json.loads(done.stdout.strip().splitlines()[-1]), done.returncode


def usage(process):
    """(processor seconds, peak resident MB) of a process so far."""
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
        peak = next(int(line.split()[1]) for line in file if line.startswith("VmHWM"))
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, peak / 1024


def row(name, result):
    def cells(kind):
        values = result.get(kind) or {}
        return " ".join(f"{values.get(q, 0):9.2f}" for q in ("p50", "p95", "p99", "max"))
    print(f"{name:28} first token {cells('first_token_ms')}  between {cells('between_tokens_ms')}")


def compare(title, vm, options):
    print(title)
    load("http://" + ENGINE, options)  # fills the prefix cache, so that both measured runs find it warm
    direct, direct_code = load("http://" + ENGINE, options)
    before, _ = usage(vm)
    through, through_code = load(f"http://127.0.0.1:{VM_BASE}", options)
    after, peak = usage(vm)
    row("  straight to the engine", direct)
    row("  through the entry VM", through)
    for kind in ("first_token_ms", "between_tokens_ms"):
        if direct.get(kind) and through.get(kind):
            print(f"  added {kind}: " + ", ".join(
                f"{q} {through[kind][q] - direct[kind][q]:+.2f}" for q in ("p50", "p95", "p99")))
    tokens = through.get("tokens") or 0
    per_token = f", {(after - before) / tokens * 1e6:.1f} us a token" if tokens else ""
    print(f"  entry VM: {after - before:.2f} s of processor time{per_token}, peak memory {peak:.1f} MB")
    print(f"  results straight: {direct.get('results')}, through: {through.get('results')}")
    return direct_code == 0 and through_code == 0


def run(title, ms_per_token, options):
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
    # A step of 1 ms, because a longer step of the engine hides what the entry VM adds to the first token.
    ok = run("50 requests/s, streams of 16 tokens at 1 ms", 1, ["--rate", "50", "--max-tokens", "16"] + duration)
    ok = run(f"{args.streams} open streams of 100 tokens at {MS_PER_TOKEN} ms", MS_PER_TOKEN,
             ["--streams", str(args.streams), "--max-tokens", "100"] + duration) and ok
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
