"""Runs both example deployments, scaled down, and sends requests through them. See scripts/demo."""

import json
import os
import shutil
import sys
import tempfile

from fleet import Fleet, http, small_document, vm_record

PLATFORM = "127.0.0.1:21000"
REGIONS = {
    "ost": "gavekvittering", "vest": "gavekvittering", "nord": "gavekvittering",
    "kochi": "leakline", "thrissur": "leakline", "kozhikode": "leakline",
}
VMS_PER_ZONE = 2
SEEDS = "127.0.0.1:21101, 127.0.0.1:21161"


def all_vms():
    """Yields (partner, region, number, first port) of each entry VM."""
    base = 21100
    for region, partner in REGIONS.items():
        for number in range(1, VMS_PER_ZONE + 1):
            yield partner, region, number, base
            base += 10


class Checks:
    def __init__(self):
        self.failed = 0

    def report(self, title, ok, text):
        print(f"{'ok  ' if ok else 'FAIL'} {title}: {text}")
        self.failed += 0 if ok else 1


def completion(port, client, model, stream=False):
    headers = {"Authorization": "Bearer demo-" + client, "Content-Type": "application/json"}
    body = {"model": model, "stream": stream, "max_tokens": 12,
            "messages": [{"role": "system", "content": "Write a short and friendly letter."},
                         {"role": "user", "content": "Thank you for the gift of 200 kroner."}]}
    return http("POST", f"http://127.0.0.1:{port}/v1/chat/completions", headers, body)


def show_completions(fleet, checks):
    norway = {"ost", "vest", "nord"}
    kerala = {"kochi", "thrissur", "kozhikode"}
    for client, region, model, allowed in (("clerks-ost", "ost", "letter-8b", norway),
                                           ("clerks-vest", "ost", "letter-8b", norway),
                                           ("clerks-nord", "kochi", "letter-8b", {"nord"}),
                                           ("callers-kochi", "kochi", "trace-8b", kerala)):
        for stream in (False, True):
            status, headers, text = completion(fleet.entries[region][0], client, model, stream)
            served = headers.get("Served-Region")
            whole = text.rstrip().endswith("data: [DONE]") if stream else "choices" in text
            checks.report(f"{client} through {region}{' (stream)' if stream else ''}",
                          status == 200 and served in allowed and whole,
                          f"ran in {served} on {headers.get('Served-By')}; {headers.get('Route-Reason')}")


def show_booking(fleet, checks):
    key = {"Authorization": "Bearer demo-booking-kochi", "Content-Type": "application/json"}
    first, second = fleet.entries["thrissur"]
    _, _, text = http("POST", f"http://127.0.0.1:{first}/v1/tickets", key, {"service": "booking"})
    ticket = json.loads(text).get("ticket", "")
    key["Idempotency-Key"] = ticket
    answers = [http("POST", f"http://127.0.0.1:{port}/v1/services/booking/slots", key, {"slot": "monday"})
               for port in (first, second, fleet.entries["kochi"][0])]
    _, _, counted = http("GET", "http://127.0.0.1:21012/executions")
    count = json.loads(counted).get(ticket)
    checks.report("one booking sent three times through three VMs",
                  all(answer[0] < 300 for answer in answers) and count == 1,
                  f"ticket of {'/'.join(ticket.split('/')[:2])}, statuses {[a[0] for a in answers]}, "
                  f"executed {count} time(s)")


def show_failover(fleet, checks):
    fleet.process("ost-engine").kill()
    results = [completion(fleet.entries["ost"][1], "clerks-ost", "letter-8b") for _ in range(5)]
    regions = [headers.get("Served-Region") for _, headers, _ in results]
    checks.report("five letters right after the engine of ost was killed", all(r[0] == 200 for r in results),
                  f"ran in {regions}")


def main():
    checks = Checks()
    with tempfile.TemporaryDirectory(prefix="cornelplank-demo-") as folder:
        fleet = Fleet(folder, PLATFORM)
        try:
            document = small_document()
            fleet.start_platform(document, [vm_record(*vm) for vm in all_vms()])
            fleet.start_upstreams(document, "--ms-per-token", "5")
            for partner, region, number, base in all_vms():
                fleet.start_vm(partner, region, number, base, SEEDS)
            fleet.wait_until_serving(len(REGIONS))
            print(f"{len(fleet.processes)} processes serve: 1 platform, {len(document['upstreams'])} upstreams, "
                  f"{VMS_PER_ZONE * len(REGIONS)} entry VMs in {len(REGIONS)} regions")
            _, _, text = http("GET", f"http://127.0.0.1:{fleet.entries['nord'][0]}/v1/entry?client=demo")
            print("entry list of nord:", " ".join(f"{entry['http']}({entry['region']})"
                                                  for entry in json.loads(text)["entries"]))
            show_completions(fleet, checks)
            show_booking(fleet, checks)
            show_failover(fleet, checks)
        finally:
            codes = fleet.stop()
            if os.environ.get("DEMO_LOGS"):
                shutil.copytree(folder, os.environ["DEMO_LOGS"])
        unclean = [name for name, code in codes.items() if code not in (0, -9)]
        checks.report("graceful shutdown of all processes", not unclean, str(unclean) if unclean else "all ended")
    return 1 if checks.failed else 0


if __name__ == "__main__":
    sys.exit(main())
