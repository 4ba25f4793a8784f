"""Memory, idle processor time and time of a configuration change of one entry VM, by the size of its configuration
and client directory.

Starts one VM with documents of different sizes and 4 stand-in engines in its zone: the 14 VMs of a zone share the
polling of its 46 replicas, so each polls 3 to 4. All other replicas exist in the document only.
"""

import argparse
import copy
import hashlib
import json
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts"))
from fleet import BIN, Fleet, http, small_document, vm_record  # noqa: E402

PLATFORM = "127.0.0.1:23000"
FIRST_ENGINE_PORT = 23001
VM_BASE = 23100
POLLED_ENGINES = 4
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def make_document(replicas, regions, zones_per_region):
    """A document with `replicas` engines, of which the first POLLED_ENGINES run in the VM's zone."""
    document = small_document()
    engine = copy.deepcopy(next(u for u in document["upstreams"].values() if u["kind"] == "engine"))
    document["upstreams"] = {}
    for index in range(regions):
        name = f"r{index}"
        document["regions"][name] = {"partner": "gavekvittering",
                                     "zones": [f"{name}-{zone + 1}" for zone in range(zones_per_region)]}
        document["links"].append({"a": "ost", "b": name, "mbit_s": 2000, "one_way_ms": 80})
    zones = [(f"r{r}", f"r{r}-{z + 1}") for r in range(regions) for z in range(zones_per_region)]
    for index in range(replicas):
        upstream = copy.deepcopy(engine)
        upstream["partner"] = "gavekvittering"
        if index < POLLED_ENGINES:
            upstream["region"], upstream["zone"] = "ost", "ost-1"
            upstream["address"] = f"127.0.0.1:{FIRST_ENGINE_PORT + index}"
        else:
            upstream["region"], upstream["zone"] = zones[index % len(zones)]
            upstream["address"] = f"10.1.{index // 200}.{index % 200}:8000"
        document["upstreams"][f"engine-{index}"] = upstream
    return document


def make_clients(count):
    """The platform's client directory with `count` clients."""
    names = ["clerks-ost"] + [f"client-{index}" for index in range(count - 1)]
    return {"revision": 1, "removed": [], "clients": [
        {"id": name, "partner": "gavekvittering", "key_sha256": hashlib.sha256(f"demo-{name}".encode()).hexdigest(),
         "classes": ["desk"], "home": "ost", "residency": "donors-own"} for name in names]}


def usage(process):
    """Returns (processor seconds since the start, resident MB, peak resident MB) of a process."""
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
        sizes = {line.split(":")[0]: int(line.split()[1]) for line in file if line.startswith(("VmRSS", "VmHWM"))}
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S, sizes["VmRSS"] / 1024, sizes["VmHWM"] / 1024


def wait_version(fleet, version):
    """Waits until the VM has a configuration version in force. Returns the seconds waited; raises after 20 s."""
    start = time.monotonic()
    while fleet.dump(VM_BASE)["status"]["config"]["version"] < version:
        if time.monotonic() - start > 20:
            raise RuntimeError("the change did not come into force")
        time.sleep(0.005)
    return time.monotonic() - start


def measure(replicas, clients, seconds):
    """Prints a row: `seconds` of idle time, then 20 changes."""
    with tempfile.TemporaryDirectory(prefix="cornelplank-bench-") as folder:
        fleet = Fleet(folder, PLATFORM)
        try:
            document = make_document(replicas, regions=8, zones_per_region=3)
            fleet.start_platform(document, [vm_record("gavekvittering", "ost", 1, VM_BASE)])
            http("POST", f"http://{PLATFORM}/operator/clients", body=make_clients(clients))
            for index in range(POLLED_ENGINES):
                fleet.start(f"engine-{index}", f"{BIN}/standin-engine", "--listen",
                            f"127.0.0.1:{FIRST_ENGINE_PORT + index}", "--model", "letter-8b@1", "--model", "trace-8b@1")
            vm = fleet.start_vm("gavekvittering", "ost", 1, VM_BASE, "")
            deadline = time.monotonic() + 20
            while time.monotonic() < deadline:
                try:
                    if fleet.dump(VM_BASE)["status"]["clients"] >= clients:
                        break
                except (OSError, ValueError):
                    pass
                time.sleep(0.1)
            time.sleep(2)
            idle_start, _, _ = usage(vm)
            time.sleep(seconds)
            idle_end, resident, _ = usage(vm)
            changes = 20
            changes_start, _, _ = usage(vm)
            times_s = []
            for change in range(changes):
                patch = [{"op": "replace", "path": "/upstreams/engine-1/price", "value": change + 1}]
                http("POST", f"http://{PLATFORM}/operator/config/log",
                     body={"base": change + 1, "author": "gavekvittering", "patch": patch})
                times_s.append(wait_version(fleet, change + 2))
            changes_end, _, peak = usage(vm)
            size = os.path.getsize(os.path.join(folder, "snapshot.json"))
            print(f"{replicas:8} {clients:8} {size / 1024:9.0f} {resident:9.1f} {peak:9.1f} "
                  f"{(idle_end - idle_start) / seconds * 100:9.2f} "
                  f"{(changes_end - changes_start) / changes * 1e3:11.1f} "
                  f"{sorted(times_s)[changes // 2] * 1e3:9.0f} {max(times_s) * 1e3:9.0f}", flush=True)
        finally:
            fleet.stop()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=int, default=10)
    args = parser.parse_args()
    print("replicas  clients  snapshot  resident      peak  in quiet    a change   in force, ms")
    print("                        KB        MB        MB  % of core  ms of core       p50       max")
    for replicas, clients in ((50, 50), (400, 500), (800, 1000), (1200, 1500)):
        measure(replicas, clients, args.seconds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
