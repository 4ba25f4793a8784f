// A new configuration comes into force in calm. All VMs have to follow it, also those that read it from
// another VM.

#include <csignal>
#include <iostream>
#include <sstream>

#include "review/1/config_text.h"
#include "review/support/harness.h"

namespace review {
namespace {

constexpr size_t kVms = 2;  // in one zone: one of them reads the store, the other follows it
// A VM can't read version 8 of this configuration from another VM; review/1/find_seed.cpp finds others.
constexpr int kRoutes = 250;
constexpr uint64_t kSeed = 4;
constexpr char kOldService[] = "wuno96b";
constexpr char kNewService[] = "huvo11a";
constexpr Milliseconds kConfigApply{4000};  // config_apply_ms
constexpr std::chrono::seconds kObserved{30};
constexpr Milliseconds kPause{100};

struct Tally {
  int sent = 0, by_old = 0, by_new = 0, other = 0;
};

/// Sends one request and returns the service that ran it; empty when none did.
std::string Request(const Fleet& fleet, size_t vm, int* status) {
  static int number = 0;
  const auto client = Connection::Open(fleet.Frontend(vm));
  Message answer;
  *status = 0;
  if (!client ||
      !client->Write("POST /moved/x HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: q" +
                     std::to_string(++number) + "\r\nDeadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nhi") ||
      client->ReadHead(&answer, Milliseconds(2500)) != ReadEnd::kComplete ||
      client->ReadBody(&answer, Milliseconds(1000)) != ReadEnd::kComplete) {
    return "";
  }
  *status = answer.Status();
  return answer.Status() == 200 ? answer.body : "";
}

Tally Observe(const Fleet& fleet, size_t vm) {
  Tally tally;
  int status = 0;
  const std::string service = Request(fleet, vm, &status);
  ++tally.sent;
  if (service == kOldService) {
    ++tally.by_old;
  } else if (service == kNewService) {
    ++tally.by_new;
  } else {
    ++tally.other;
  }
  return tally;
}

[[noreturn]] void RunCase() {
  Store store(RunIp(10));
  store.Put("op/config", ConfigText(6, kNewService, kRoutes, kSeed));
  std::vector<std::unique_ptr<Listener>> replicas;
  for (const std::string service : {kOldService, kNewService}) {
    replicas.push_back(std::make_unique<Listener>(RunIp(20), 0, [service](Connection& connection) {
      Message request;
      while (connection.ReadHead(&request, Milliseconds(60000)) == ReadEnd::kComplete &&
             connection.ReadBody(&request, Milliseconds(5000)) == ReadEnd::kComplete) {
        connection.Write("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.Header("Attempt-Id") +
                         "\r\nResponse-Signature: s\r\nContent-Length: " + std::to_string(service.size()) +
                         "\r\n\r\n" + service);
        request = {};
      }
    }));
    store.Put("servers/i-" + service,
              ReplicaEntry(service, replicas.back()->address(), "z1", 8, "ready", WallClockMs()));
  }
  Fleet fleet({{RunIp(1), "z1"}, {RunIp(2), "z1"}}, "z1:r1", {store.address()});
  for (size_t vm = 0; vm < kVms; ++vm) fleet.Start(vm);
  for (size_t vm = 0; vm < kVms; ++vm) fleet.AwaitReady(vm);
  SleepFor(Milliseconds(3000));
  // A first change, of the same size, comes into force at both VMs.
  store.Put("op/config", ConfigText(7, kOldService, kRoutes, kSeed));
  SleepFor(kConfigApply);
  for (size_t vm = 0; vm < kVms; ++vm) {
    const Tally tally = Observe(fleet, vm);
    Record::Line("VM " + std::to_string(vm) +
                 " after version 7: " + (tally.by_old == 1 ? "run as it says" : "NOT run as it says"));
    if (tally.by_old != 1) Abandon("version 7 isn't in force");
  }
  if (Trouble()) store.Put("op/config", ConfigText(8, kNewService, kRoutes, kSeed));
  const auto acknowledged = Clock::now();
  const std::string wanted = Trouble() ? kNewService : kOldService;
  std::vector<Tally> late(kVms);  // of requests that were sent later than config_apply_ms after the ack
  while (Clock::now() - acknowledged < kObserved) {
    for (size_t vm = 0; vm < kVms; ++vm) {
      const bool counts = Clock::now() - acknowledged > kConfigApply;
      const Tally tally = Observe(fleet, vm);
      if (!counts) continue;
      late[vm].sent += tally.sent;
      late[vm].by_old += tally.by_old;
      late[vm].by_new += tally.by_new;
      late[vm].other += tally.other;
    }
    SleepFor(kPause);
  }
  int wrong = 0;
  for (size_t vm = 0; vm < kVms; ++vm) {
    const int stale = wanted == kNewService ? late[vm].by_old : late[vm].by_new;
    wrong += stale;
    std::ostringstream line;
    line << "VM " << vm << ": " << late[vm].sent
         << " requests later than 4 s after the ack of the newest version, " << late[vm].by_old << " run by "
         << kOldService << ", " << late[vm].by_new << " by " << kNewService << ", " << late[vm].other
         << " by none; log lines store_item_unreadable: " << fleet.CountLog(vm, "event=store_item_unreadable")
         << (stale > 0 ? "  <- BROKEN" : "");
    Record::Line(line.str());
    std::cout << line.str() << "\n";
  }
  Record::Line("CONFIG: " + std::to_string(wrong) + " requests were run as only an older version allows");
  Finish(wrong > 0 ? kRuleBroken : kRuleHeld);
}

}  // namespace
}  // namespace review

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  review::RunCase();
}
