#include "libs/gateway/internal/platform_reader.h"

#include <thread>

namespace cornelplank::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kLoopInterval{50};
constexpr milliseconds kReadTimeout{1000};
constexpr milliseconds kStopCheckInterval{100};  // while a read is in progress
constexpr seconds kReaderInterval{2};  // between two reads of the VM list or the clients by a reader
// A VM that is no reader also reads the VM list at this interval: 370 VMs make 12 reads/s, 0.6% of the
// service's rate.
constexpr seconds kNonReaderInterval{30};
constexpr int kGone = 410;

}  // namespace

PlatformReader::PlatformReader(SharedState* shared, ConfigSync* sync,
                               std::function<void(uint64_t after)> on_entries)
    : shared_(shared),
      sync_(sync),
      on_entries_(std::move(on_entries)),
      http_(http::Client::Create()),
      schedule_(base::EntropySeed(), shared->clock.Now()),
      random_(base::EntropySeed()) {}

void PlatformReader::Run() {
  while (!stopping_.load()) {
    ReadConfig();
    const bool reader = IsReader();
    ReadVms(reader);
    ReadClients(reader);
    std::this_thread::sleep_for(kLoopInterval);
  }
}

bool PlatformReader::IsReader() const {
  const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
  return membership::ReaderSelector::IsOwnReader(shared_->fleet.table);
}

std::optional<std::string> PlatformReader::Get(const char* what, const std::string& path,
                                               milliseconds timeout, int* status) {
  http::ClientRequest request;
  request.url = "http://" + shared_->settings.platform + path;
  request.connect_timeout = kReadTimeout;
  request.timeout = timeout;
  const base::TimePoint started_at = shared_->clock.Now();
  const auto exchange = http_->Open(request);
  std::string body;
  *status = 0;
  while (!stopping_.load()) {
    http::ExchangeEvent event = exchange->Next(kStopCheckInterval);
    if (event.kind == http::ExchangeEvent::Kind::kHead) *status = event.status;
    if (event.kind == http::ExchangeEvent::Kind::kData) body += event.data;
    if (event.kind == http::ExchangeEvent::Kind::kFailed) {
      *status = 0;
      break;
    }
    if (event.kind == http::ExchangeEvent::Kind::kEnd) break;
  }
  const bool answered = *status == 200;
  if (answered) shared_->incarnation_monitor.RecordContact(started_at);
  shared_->metrics.CountPlatformRead(what, answered);
  if (!answered) return std::nullopt;
  return body;
}

void PlatformReader::ReadConfig() {
  const bool reader = IsReader() || !sync_->has_store();
  base::Duration confirmed_age{};
  {
    const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
    confirmed_age = shared_->fleet.gossip.confirmation().PlatformConfirmationAge(shared_->clock.Now());
  }
  if (!schedule_.IsDue(reader, confirmed_age, shared_->clock.Now())) return;
  schedule_.OnCallStarted(shared_->clock.Now());
  const bool answered = sync_->has_store() ? ReadLog(reader) : ReadSnapshot();
  schedule_.OnCallEnded(answered, shared_->clock.Now());
}

bool PlatformReader::ReadSnapshot() {
  int status = 0;
  const auto body = Get("snapshot", "/v1/config/snapshot", seconds{5}, &status);
  if (!body) return false;
  if (sync_->ApplySnapshot(*body, "the platform")) sync_->RefreshView();
  return true;
}

bool PlatformReader::ReadLog(bool reader) {
  const uint64_t after = sync_->seq();
  const auto wait = reader ? std::chrono::duration_cast<milliseconds>(membership::ReadSchedule::kWatchWait)
                           : milliseconds{0};
  const base::TimePoint started_at = shared_->clock.Now();
  int status = 0;
  const auto body =
      Get("log", "/v1/config/log?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count()),
          wait + kReadTimeout, &status);
  if (status == kGone) return ReadSnapshot();
  if (!body) return false;
  const auto page = config::ParseLogPage(*body, nullptr);
  if (!page) return false;
  if (sync_->ApplyLogPage(*body, "the platform")) {
    sync_->RefreshView();
    on_entries_(after);
  }
  const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
  shared_->fleet.gossip.RecordPlatformHead(page->head_seq, started_at, shared_->clock.Now());
  return true;
}

void PlatformReader::ReadVms(bool reader) {
  const base::TimePoint now = shared_->clock.Now();
  if (now < next_vms_) return;
  const base::Duration interval = reader ? kReaderInterval : kNonReaderInterval;
  next_vms_ = now + interval + base::Duration{random_.Below(static_cast<uint64_t>(interval.count() / 4))};
  int status = 0;
  const auto body = Get("vms", "/v1/vms", kReadTimeout, &status);
  if (!body) return;
  config::ConfigReason reason;
  config::UnusableVmRecords unusable;
  const auto list = config::ParseVmList(*body, &reason, &unusable);
  for (const config::Fault& fault : unusable.faults) {
    CP_LOG(WARNING, "vms") << "Invalid record of the VM list at " << fault.pointer
                           << "; what is known of its VM stays.";
  }
  if (!list) {
    CP_LOG(WARNING, "vms") << "The VM list can't be read: " << reason.detail;
    return;
  }
  std::vector<membership::VmListEntry> entries;
  for (const config::VmRecord& vm : list->vms) {
    entries.push_back(
        {vm.id, vm.partner, vm.region, vm.zone, vm.rpc, vm.http, vm.incarnation,
         vm.state == config::VmState::kLeaving ? membership::VmState::kLeaving : membership::VmState::kLive});
  }
  const std::lock_guard<std::mutex> lock(shared_->fleet.mutex);
  shared_->fleet.table.ApplyVmList(entries, list->age, shared_->clock.Now(), unusable.ids, !unusable.unnamed);
}

void PlatformReader::ReadClients(bool reader) {
  const base::TimePoint now = shared_->clock.Now();
  if (now < next_clients_ || (!reader && shared_->clients.revision() > 0)) return;
  next_clients_ = now + kReaderInterval;
  const uint64_t since = shared_->clients.revision();
  int status = 0;
  const auto body = Get("clients", "/v1/clients?since=" + std::to_string(since), seconds{5}, &status);
  if (!body) return;
  config::Faults faults;
  const auto page = config::ParseClientPage(*body, nullptr, &faults);
  for (const config::Fault& fault : faults) {
    CP_LOG(WARNING, "clients") << "Invalid record of the client directory at " << fault.pointer
                               << "; its client is removed.";
  }
  if (page) shared_->clients.Apply(*page, since == 0);
}

}  // namespace cornelplank::gateway
