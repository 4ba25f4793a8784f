"""Starts and ends the processes of a small fleet on loopback addresses, for the demo and the benchmarks."""

import json
import os
import secrets
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.path.join(ROOT, "build", "bin")
EXAMPLE = os.path.join(ROOT, "examples", "two-partners")
STOP_LIMIT_S = 30


def http(method, url, headers=None, body=None, timeout=20):
    """Returns (status, headers, body text), also for HTTP errors; raises OSError if no answer arrives."""
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.headers, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read().decode()


class Fleet:
    """The processes of one run. `folder` holds their files and logs; `platform` is the IP:PORT of the platform."""

    def __init__(self, folder, platform):
        self.folder = folder
        self.platform = platform
        self.processes = []
        self.entries = {}  # region -> the first port of each of its VMs, where it serves clients
        self.token = secrets.token_hex(16)
        self._write("operators.token", self.token)
        self._write("peers.key", secrets.token_hex(16))

    def _write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def _read(self, name):
        with open(os.path.join(self.folder, name), encoding="utf-8") as file:
            return file.read()

    def start(self, name, *args):
        with open(os.path.join(self.folder, name + ".log"), "w", encoding="utf-8") as log:
            process = subprocess.Popen(list(args), stdout=log, stderr=subprocess.STDOUT)
        self.processes.append((name, process))
        return process

    def process(self, name):
        return next(process for other, process in self.processes if other == name)

    def start_platform(self, document, vms):
        snapshot = {"format": 1, "seq": 1, "version": 1, "digest": "0" * 32, "document": document}
        self.start("platform", f"{BIN}/standin-platform", "--listen", self.platform,
                   "--snapshot", self._write("snapshot.json", json.dumps(snapshot)),
                   "--clients", f"{EXAMPLE}/clients.json",
                   "--vms", self._write("vms.json", json.dumps({"age_ms": 0, "vms": vms})))
        limit = time.monotonic() + 10
        while "listening" not in self._read("platform.log"):
            if time.monotonic() > limit:
                raise RuntimeError("the platform does not serve")
            time.sleep(0.01)

    def start_upstreams(self, document, *engine_options):
        for name, upstream in document["upstreams"].items():
            place = ["--listen", upstream["address"], "--name", name, "--region", upstream["region"]]
            if upstream["kind"] != "engine":
                self.start(name, f"{BIN}/standin-service", *place)
                continue
            models = [part for model in upstream["models"]
                      for part in ("--model", model + "@" + document["models"][model]["version"])]
            self.start(name, f"{BIN}/standin-engine", *place, "--slots", str(upstream["slots"]), *models,
                       *engine_options)

    def start_vm(self, partner, region, number, base, seeds):
        path = self._write(f"{region}-{number}.ini", f"""[vm]
id = {region}-vm{number}
partner = {partner}
region = {region}
zone = {region}-1
[listen]
clients = 127.0.0.1:{base}
peers = 127.0.0.1:{base + 1}
operators = 127.0.0.1:{base + 2}
[platform]
address = {self.platform}
[peers]
key_file = {self.folder}/peers.key
seeds = {seeds}
[operators]
token_file = {self.folder}/operators.token
""")
        self.entries.setdefault(region, []).append(base)
        return self.start(f"{region}-vm{number}", f"{BIN}/cornelplank-gateway", "--settings", path)

    def dump(self, base):
        _, _, text = http("GET", f"http://127.0.0.1:{base + 2}/dump", {"Authorization": "Bearer " + self.token},
                          timeout=2)
        return json.loads(text)

    def wait_until_serving(self, zones, limit_s=20):
        """Waits until every VM serves, knows every other one and reaches all `zones` zones; raises RuntimeError after
        `limit_s` seconds."""
        bases = [base for ports in self.entries.values() for base in ports]
        limit = time.monotonic() + limit_s
        for base in bases:
            while not self._serves(base, len(bases), zones):
                if time.monotonic() > limit:
                    raise RuntimeError(f"the VM at port {base} does not serve")
                time.sleep(0.1)

    def _serves(self, base, vms, zones):
        try:
            dump = self.dump(base)
        except (OSError, ValueError):
            return False
        known = dump["replicas"]["zones"] if dump["replicas"] else []
        reachable = sum(1 for zone in known if zone["reachable"])
        serving = dump["status"]["state"] == "serving" and not dump["status"]["home_only"]
        polled = dump["replicas"] and all(replica["report_age_ms"] >= 0 for replica in dump["replicas"]["own_zone"]
                                          if "engine" in replica["id"])
        return bool(serving and polled and len(dump["vms"]) >= vms and reachable == zones)

    def stop(self):
        """Sends SIGTERM to every process and returns the exit codes by name. A process that has not ended within
        STOP_LIMIT_S is killed; its code is "killed"."""
        for _, process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        codes = {}
        for name, process in self.processes:
            try:
                codes[name] = process.wait(timeout=STOP_LIMIT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[name] = "killed"
        return codes


def small_document():
    """Returns the configuration document of the example, scaled down."""
    with open(os.path.join(EXAMPLE, "document-small.json"), encoding="utf-8") as file:
        return json.load(file)


def vm_record(partner, region, number, base):
    """Returns a VM's entry in the platform's VM list. `base` is its first port."""
    return {"id": f"{region}-vm{number}", "partner": partner, "region": region, "zone": f"{region}-1",
            "rpc": f"127.0.0.1:{base + 1}", "http": f"127.0.0.1:{base}", "incarnation": 0, "state": "live"}
