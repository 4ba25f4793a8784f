"""The store comes back from a copy a few seconds old; what is written to it afterwards must come into force."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "support-2"))
from harness import BROKEN, HELD, Fleet, Replica, attempt_id, call, run_case  # noqa: E402

ZONE = "oslo-sone1"
HOST = "ficu95.example"
CONTACT_S = 6.0
APPLY_S = 4.0


def config(version, service, routes):
    return {
        "version": version,
        "routes": [{"name": f"r-{name}", "host": HOST, "path_prefix": f"/{name}/", "kind": "unsafe",
                    "timeout_ms": 2000, "target_latency_ms": 600, "priority": 2, "service": service, "attempts": 1,
                    "home_regions": []} for name in routes],
        "services": [{"name": name, "health_path": "/health", "connection_limit": 100, "protocol": "h1",
                      "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0}
                     for name in ("ledger-old", "ledger-new")],
        "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }


async def main(record, trouble):
    fleet = Fleet(record, {ZONE: "ost-region"})
    store = fleet.store
    await store.start()
    replicas = [Replica(record, service, f"i-{service}-{n}", ZONE)
                for service in ("ledger-old", "ledger-new") for n in (1, 2, 3)]
    try:
        for replica in replicas:
            await replica.start()
            replica.publish(store)
        store.put("op/config", config(7, "ledger-old", ["issue", "dropped"]))
        for _ in range(3):
            fleet.add_vm(ZONE)
        await fleet.start()
        await asyncio.sleep(CONTACT_S)

        copy = store.copy()
        # Configurations in quick succession: only time-outs differ.
        for version in (8, 9, 10, 11, 12):
            changed = config(version, "ledger-old", ["issue", "dropped"])
            for route in changed["routes"]:
                route["timeout_ms"] = 2000 + version
            store.put("op/config", changed)
            await asyncio.sleep(0.33)
        newest = changed
        await asyncio.sleep(2)
        if trouble:
            record.say("the store goes away")
            await store.stop()
            await asyncio.sleep(1)
            store.restore(copy)
            await store.start()
            record.say(f"the store is back from a copy 5 s old, at revision {store.revision}, era {store.era}")
            await asyncio.sleep(0.5)
            store.put("op/config", newest)  # the operator writes its newest one again
        await asyncio.sleep(CONTACT_S + 1)

        # Calm from here on. The ledger moves to another service, and a route is dropped.
        store.put("op/config", config(13, "ledger-new", ["issue"]))
        acked = record.now()
        await asyncio.sleep(APPLY_S + 1)

        stale = dropped = served = 0
        for round_number in range(20):
            for vm in fleet.vms:
                for path in ("issue", "dropped"):
                    attempt = attempt_id()
                    sent = record.now()
                    answer = await call(vm.address("frontend"), "POST", f"/{path}/2f",
                                        [("Host", HOST), ("Attempt-Id", attempt), ("Deadline-Ms", 4000)], b"gift")
                    by = [r for r in replicas if any(run[1] == attempt for run in r.runs)]
                    names = ",".join(r.name for r in by) or "nobody"
                    record(f"client sent {attempt} POST /{path}/2f to {vm.name} at {sent:.3f}: {answer}, run by {names}")
                    served += answer.status == 200
                    stale += path == "issue" and any(r.service == "ledger-old" for r in by)
                    dropped += path == "dropped" and bool(by)
            await asyncio.sleep(0.05)
        record.say(f"version 13 acknowledged at {acked:.3f}; 120 requests sent from {APPLY_S + 1:.0f} s later on, "
                   f"{served} answered with 200")
        record.say(f"CONFIG: {stale} of 60 run by the service of older versions; "
                   f"{dropped} of 60 run on the dropped route")
        return BROKEN if stale or dropped else HELD
    finally:
        await fleet.stop()
        for replica in replicas:
            await replica.stop()


run_case(main, HERE)
