"""Runs both example deployments in small and sends requests through them. See scripts/demo."""

import json
import os
import secrets
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, "build", "bin")
EXAMPLE = os.path.join(ROOT, "examples", "two-partners")
PLATFORM = "127.0.0.1:21000"
REGIONS = {
    "ost": "gavekvittering", "vest": "gavekvittering", "nord": "gavekvittering",
    "kochi": "leakline", "thrissur": "leakline", "kozhikode": "leakline",
}
VMS_PER_ZONE = 2
START_LIMIT_S = 20

processes = []


def start(name, args, log_folder):
    log = open(os.path.join(log_folder, name + ".log"), "w", encoding="utf-8")
    process = subprocess.Popen(args, stdout=log, stderr=subprocess.STDOUT)
    processes.append((name, process))


def http(method, url, headers=None, body=None, timeout=20):
    """Returns (status, headers, body text)."""
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.headers, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read().decode()


def all_vms():
    """Yields (region, number, first port) of each entry VM."""
    index = 0
    for region in REGIONS:
        for number in range(1, VMS_PER_ZONE + 1):
            yield region, number, 21100 + 10 * index
            index += 1


def vm_record(region, number, base):
    return {"id": f"{region}-vm{number}", "partner": REGIONS[region], "region": region, "zone": f"{region}-1",
            "rpc": f"127.0.0.1:{base + 1}", "http": f"127.0.0.1:{base}", "incarnation": 0, "state": "live"}


def write_platform_files(folder):
    with open(os.path.join(EXAMPLE, "document-small.json"), encoding="utf-8") as file:
        document = json.load(file)
    snapshot = {"format": 1, "seq": 1, "version": 1, "digest": "0" * 32, "document": document}
    with open(os.path.join(folder, "snapshot.json"), "w", encoding="utf-8") as file:
        json.dump(snapshot, file)
    with open(os.path.join(folder, "vms.json"), "w", encoding="utf-8") as file:
        json.dump({"age_ms": 0, "vms": [vm_record(*vm) for vm in all_vms()]}, file)
    for name in ("peers.key", "operators.token"):
        with open(os.path.join(folder, name), "w", encoding="utf-8") as file:
            file.write(secrets.token_hex(16))
    return document


def gateway_settings(folder, region, number, base):
    path = os.path.join(folder, f"{region}-{number}.ini")
    with open(path, "w", encoding="utf-8") as file:
        file.write(f"""[vm]
id = {region}-vm{number}
partner = {REGIONS[region]}
region = {region}
zone = {region}-1
[listen]
clients = 127.0.0.1:{base}
peers = 127.0.0.1:{base + 1}
operators = 127.0.0.1:{base + 2}
[platform]
address = {PLATFORM}
[peers]
key_file = {folder}/peers.key
seeds = 127.0.0.1:21101, 127.0.0.1:21161
[operators]
token_file = {folder}/operators.token
""")
    return path


def start_everything(folder, document):
    start("platform", [f"{BIN}/standin-platform", "--listen", PLATFORM, "--snapshot", f"{folder}/snapshot.json",
                       "--clients", f"{EXAMPLE}/clients.json", "--vms", f"{folder}/vms.json"], folder)
    for name, upstream in document["upstreams"].items():
        if upstream["kind"] == "engine":
            args = [f"{BIN}/standin-engine", "--listen", upstream["address"], "--name", name, "--region",
                    upstream["region"], "--slots", str(upstream["slots"]), "--ms-per-token", "5"]
            for model in upstream["models"]:
                args += ["--model", model + "@" + document["models"][model]["version"]]
        else:
            args = [f"{BIN}/standin-service", "--listen", upstream["address"], "--name", name, "--region",
                    upstream["region"]]
        start(name, args, folder)
    entries = {}
    for region, number, base in all_vms():
        path = gateway_settings(folder, region, number, base)
        start(f"{region}-vm{number}", [f"{BIN}/cornelplank-gateway", "--settings", path], folder)
        entries.setdefault(region, []).append(base)
    return entries


def wait_until_serving(entries, token):
    """Waits until every VM serves and knows every other one."""
    total = sum(len(ports) for ports in entries.values())
    limit = time.monotonic() + START_LIMIT_S
    for ports in entries.values():
        for port in ports:
            while True:
                if time.monotonic() > limit:
                    raise RuntimeError(f"the VM at port {port} does not serve")
                try:
                    _, _, text = http("GET", f"http://127.0.0.1:{port + 2}/dump",
                                      {"Authorization": "Bearer " + token}, timeout=2)
                    dump = json.loads(text)
                    zones = dump["replicas"]["zones"] if dump["replicas"] else []
                    reachable = sum(1 for zone in zones if zone["reachable"])
                    ready = dump["status"]["state"] == "serving" and not dump["status"]["home_only"]
                    if ready and len(dump["vms"]) >= total and reachable == len(REGIONS):
                        break
                except (OSError, KeyError, ValueError):
                    pass
                time.sleep(0.1)


class Checks:
    def __init__(self):
        self.failed = 0

    def report(self, title, ok, text):
        print(f"{'ok  ' if ok else 'FAIL'} {title}: {text}")
        self.failed += 0 if ok else 1


def completion(port, client, model, stream=False, home=None):
    headers = {"Authorization": "Bearer demo-" + client, "Content-Type": "application/json"}
    if home:
        headers["Data-Home"] = home
    body = {"model": model, "stream": stream, "max_tokens": 12,
            "messages": [{"role": "system", "content": "Write a short and friendly letter."},
                         {"role": "user", "content": "Thank you for the gift of 200 kroner."}]}
    return http("POST", f"http://127.0.0.1:{port}/v1/chat/completions", headers, body)


def show_completions(entries, checks):
    for client, region, model, allowed in (
            ("clerks-ost", "ost", "letter-8b", {"ost", "vest", "nord"}),
            ("clerks-nord", "vest", "letter-8b", {"ost", "vest", "nord"}),
            ("callers-kochi", "kochi", "trace-8b", {"kochi", "thrissur", "kozhikode"})):
        for stream in (False, True):
            status, headers, text = completion(entries[region][0], client, model, stream)
            served = headers.get("Served-Region")
            whole = text.rstrip().endswith("data: [DONE]") if stream else "choices" in text
            checks.report(f"{client} through {region}{' (stream)' if stream else ''}",
                          status == 200 and served in allowed and whole,
                          f"ran in {served} on {headers.get('Served-By')}; {headers.get('Route-Reason')}")


def show_residency(entries, checks):
    status, headers, text = completion(entries["kochi"][0], "clerks-nord", "letter-8b")
    served = headers.get("Served-Region")
    checks.report("clerks-nord (home only) through kochi", status == 200 and served == "nord" or status == 403,
                  f"status {status}, ran in {served}: {text[:90] if status != 200 else 'answered at home'}")


def show_booking(entries, checks):
    key = {"Authorization": "Bearer demo-booking-kochi", "Content-Type": "application/json"}
    first, second = entries["thrissur"]
    _, _, text = http("POST", f"http://127.0.0.1:{first}/v1/tickets", key, {"service": "booking"})
    ticket = json.loads(text).get("ticket", "")
    key["Idempotency-Key"] = ticket
    answers = [http("POST", f"http://127.0.0.1:{port}/v1/services/booking/slots", key, {"slot": "monday"})
               for port in (first, second, entries["kochi"][0])]
    _, _, counted = http("GET", "http://127.0.0.1:21012/executions")
    count = json.loads(counted).get(ticket)
    checks.report("one booking sent three times through three VMs",
                  all(answer[0] < 300 for answer in answers) and count == 1,
                  f"ticket of {'/'.join(ticket.split('/')[:2])}, statuses {[a[0] for a in answers]}, "
                  f"executed {count} time(s)")


def show_failover(entries, checks):
    name, engine = next(item for item in processes if item[0] == "ost-engine")
    engine.kill()
    results = [completion(entries["ost"][1], "clerks-ost", "letter-8b") for _ in range(5)]
    regions = [headers.get("Served-Region") for _, headers, _ in results]
    checks.report("five letters right after the engine of ost was killed", all(r[0] == 200 for r in results),
                  f"ran in {regions}")


def stop_everything():
    for _, process in processes:
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
    codes = {}
    for name, process in processes:
        try:
            codes[name] = process.wait(timeout=15)
        except subprocess.TimeoutExpired:
            process.kill()
            codes[name] = "killed"
    return codes


def main():
    checks = Checks()
    with tempfile.TemporaryDirectory(prefix="cornelplank-demo-") as folder:
        try:
            document = write_platform_files(folder)
            entries = start_everything(folder, document)
            with open(os.path.join(folder, "operators.token"), encoding="utf-8") as file:
                token = file.read()
            wait_until_serving(entries, token)
            print(f"{len(processes)} processes serve: 1 platform, {len(document['upstreams'])} upstreams, "
                  f"{VMS_PER_ZONE * len(REGIONS)} entry VMs in {len(REGIONS)} regions")
            _, _, text = http("GET", f"http://127.0.0.1:{entries['nord'][0]}/v1/entry?client=demo")
            print("entry list of nord:", " ".join(e["http"] + "(" + e["region"] + ")"
                                                  for e in json.loads(text)["entries"]))
            show_completions(entries, checks)
            show_residency(entries, checks)
            show_booking(entries, checks)
            show_failover(entries, checks)
        finally:
            codes = stop_everything()
            if os.environ.get("DEMO_LOGS"):
                subprocess.run(["cp", "-r", folder, os.environ["DEMO_LOGS"]], check=False)
        unclean = [name for name, code in codes.items() if code not in (0, -9)]
        checks.report("graceful shutdown of all processes", not unclean, "all ended" if not unclean else str(unclean))
    return 1 if checks.failed else 0


if __name__ == "__main__":
    sys.exit(main())
