#include "tests/soak/vm_fleet.h"

#include <linux/close_range.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>

namespace cornelplank::soak {
namespace {

constexpr std::chrono::milliseconds kPollInterval{10};
constexpr std::chrono::seconds kStartLimit{15};  // ample, as other processes may keep the machine busy
constexpr std::chrono::seconds kGrace{6};
constexpr int kDefaultSecondSends = 100;
constexpr size_t kMaxSeeds = 3;
const char* const kListeners[] = {"clients", "readiness", "directory", "beats", "hops", "metrics"};

/// Resident memory of the process; 0 when it has ended.
size_t ResidentBytes(pid_t pid) {
  std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
  size_t all = 0;
  size_t resident = 0;
  statm >> all >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace

VmFleet::VmFleet(net::asio::io_context& loop, int vms, const net::asio::ip::address_v4& base,
                 std::string folder, const net::Tcp::endpoint& store)
    : loop_(loop), folder_(std::move(folder)), store_(testing::wire::EndpointText(store)) {
  for (const char* listener : kListeners) ports_[listener] = harness::FreePort();
  for (int i = 0; i < vms; ++i) {
    Vm vm;
    vm.index = i;
    vm.address = net::asio::ip::address_v4(base.to_uint() + 1 + static_cast<uint32_t>(i));
    vm.zone = Zones()[static_cast<size_t>(i) % Zones().size()];
    vms_.push_back(std::move(vm));
  }
}

VmFleet::Vm* VmFleet::FindVm(const net::asio::ip::address& address) {
  for (Vm& vm : vms_) {
    if (vm.address == address) return &vm;
  }
  return nullptr;
}

size_t VmFleet::CountUp() const {
  return static_cast<size_t>(
      std::count_if(vms_.begin(), vms_.end(), [](const Vm& vm) { return vm.state == State::kUp; }));
}

std::string VmFleet::SettingsPath(const Vm& vm) const {
  return folder_ + "/vm-" + std::to_string(vm.index) + ".ini";
}

void VmFleet::WriteSettings(const Vm& vm, int second_sends, bool valid) const {
  const std::string path = SettingsPath(vm);
  std::ofstream file(path + ".new");
  file << "[vm]\nname=" << (valid ? "vm-" + std::to_string(vm.index) : "") << "\nmemory_mb=" << kMemoryMb
       << "\ndescriptors=" << descriptors_ << "\nip=" << vm.address.to_string() << "\nzone=" << vm.zone.name
       << "\nzones=";
  for (size_t i = 0; i < Zones().size(); ++i) {
    file << (i > 0 ? "," : "") << Zones()[i].name << ":" << Zones()[i].region;
  }
  file << "\nseeds=";
  for (size_t i = 0; i < std::min(kMaxSeeds, vms_.size()); ++i) {
    file << (i > 0 ? "," : "") << testing::wire::EndpointText(EndpointOf(vms_[i], "beats"));
  }
  file << "\n[listen]\n";
  for (const auto& [name, port] : ports_) {
    file << name << "=" << testing::wire::EndpointText({vm.address, port}) << "\n";
  }
  file << "[store]\naddress=" << store_ << "\n[limits]\nsecond_sends=" << second_sends
       << "\ngrace=" << kGrace.count() << "s\n";
  file.close();
  std::filesystem::rename(path + ".new", path);  // the program never reads half a file
}

net::Task<> VmFleet::Start(int index) {
  Vm& vm = vms_[static_cast<size_t>(index)];
  // A VM that leaves does not have to follow changes any more.
  const TimePoint down_since = vm.terminated != TimePoint{} ? vm.terminated : std::min(vm.killed, Now());
  WriteSettings(vm, kDefaultSecondSends, true);
  const std::string name = "vm-" + std::to_string(index) + "." + std::to_string(++vm.incarnation);
  // Asio's sockets have no close-on-exec flag. A child process that inherits them would keep connections and
  // listeners open that this program has closed.
  if (close_range(3, ~0U, CLOSE_RANGE_CLOEXEC) != 0) throw std::runtime_error("close_range failed");
  vm.process = harness::Process::Start(folder_, name, program_, {"--settings", SettingsPath(vm)});
  const rlimit descriptors{descriptors_, descriptors_};
  if (vm.process && prlimit(vm.process->pid(), RLIMIT_NOFILE, &descriptors, nullptr) != 0) {
    throw std::runtime_error("prlimit failed");
  }
  vm.state = State::kStarting;
  vm.started = Now();
  vm.terminated = {};
  while (vm.process && vm.process->running() && Now() - vm.started < kStartLimit) {
    if (vm.process->Output().find("event=started") != std::string::npos) {
      vm.state = State::kUp;
      config_lag_.OnVmTrouble(vm.index, down_since);
      co_return;
    }
    co_await net::Sleep(loop_, kPollInterval);
  }
  ledger_->Fail("start", name, vm.process ? vm.process->Errors() : "can't be started");
  vm.state = State::kUp;  // `Watch` starts it again
}

net::Task<> VmFleet::Restart(int index, Duration pause) {
  Vm& vm = vms_[static_cast<size_t>(index)];
  vm.state = State::kStopping;
  vm.terminated = Now();
  vm.process->Signal(SIGTERM);
  while (vm.process->running() && Now() - vm.terminated < kGrace) {
    co_await net::Sleep(loop_, kPollInterval);
  }
  const auto code = vm.process->WaitForExit(std::chrono::milliseconds(0));
  if (!code) {
    ledger_->Fail("grace", vm.process->name(), "still runs at the end of the grace time");
    vm.killed = Now();
    vm.process->Signal(SIGKILL);
    while (vm.process->running()) {
      co_await net::Sleep(loop_, kPollInterval);
    }
  } else if (*code != 0) {
    ledger_->Fail("exit_code", vm.process->name(), std::to_string(*code) + " " + vm.process->Errors());
  }
  vm.state = State::kDown;
  co_await net::Sleep(loop_, pause);
  co_await Start(index);
}

net::Task<> VmFleet::KillAndRestart(int index, Duration pause) {
  Vm& vm = vms_[static_cast<size_t>(index)];
  vm.state = State::kDown;
  vm.killed = Now();
  if (!vm.process->running()) ReportEnd(vm);
  vm.process->Signal(SIGKILL);
  while (vm.process->running()) {
    co_await net::Sleep(loop_, kPollInterval);
  }
  co_await net::Sleep(loop_, pause);
  co_await Start(index);
}

net::Task<> VmFleet::Freeze(int index, Duration time) {
  Vm& vm = vms_[static_cast<size_t>(index)];
  vm.state = State::kFrozen;
  const TimePoint begin = Now();
  vm.process->Signal(SIGSTOP);
  co_await net::Sleep(loop_, time);
  vm.process->Signal(SIGCONT);
  vm.frozen_until = Now();
  config_lag_.OnVmTrouble(vm.index, begin);
  vm.state = State::kUp;
}

void VmFleet::Reload(Vm& vm, int second_sends, bool valid) {
  WriteSettings(vm, second_sends, valid);
  vm.process->Signal(SIGHUP);
}

net::Task<> VmFleet::ReplaceSettings(int index, Duration time) {
  Vm& vm = vms_[static_cast<size_t>(index)];
  std::filesystem::remove(SettingsPath(vm));
  vm.process->Signal(SIGHUP);
  co_await net::Sleep(loop_, time);
  WriteSettings(vm, kDefaultSecondSends, true);
}

net::Task<> VmFleet::Watch() {
  while (true) {
    co_await net::Sleep(loop_, kPollInterval);
    for (Vm& vm : vms_) {
      if (vm.state != State::kUp) continue;
      if (vm.process && vm.process->running()) {
        const size_t memory = ResidentBytes(vm.process->pid());
        peak_memory_ = std::max(peak_memory_, memory);
        if (memory <= memory_mb_ * 1'000'000) continue;
        ledger_->Fail("memory", vm.process->name(), std::to_string(memory) + " bytes");
        net::Spawn(loop_, "kill", KillAndRestart(vm.index, std::chrono::milliseconds(300)));
        continue;
      }
      ReportEnd(vm);
      vm.killed = Now();
      co_await Start(vm.index);
    }
  }
}

void VmFleet::ReportEnd(Vm& vm) {
  const auto code = vm.process ? vm.process->WaitForExit(std::chrono::milliseconds(0)) : std::nullopt;
  std::string detail = "exit code " + std::to_string(code.value_or(-1));
  if (vm.process) {
    const std::string output = vm.process->Output();
    const size_t fault = output.find("event=fatal_signal");
    if (fault != std::string::npos) detail += " " + output.substr(fault, output.find('\n', fault) - fault);
    detail += " " + vm.process->Errors();
  }
  ledger_->Fail("process_ended", "vm-" + std::to_string(vm.index), detail);
}

void VmFleet::CheckEnds() {
  for (Vm& vm : vms_) {
    const bool may_run = vm.state == State::kUp || vm.state == State::kFrozen;
    if (may_run && vm.process && !vm.process->running()) ReportEnd(vm);
  }
}

void VmFleet::SetStoreServing(bool serving) {
  if (serving && !store_serving_) config_lag_.OnStoreTrouble(store_back_);
  store_serving_ = serving;
  store_back_ = Now();
}

bool VmFleet::WasDisturbed(const Vm& vm, TimePoint since) {
  return vm.state == State::kFrozen || vm.frozen_until >= since || vm.killed >= since;
}

bool VmFleet::Disturbed(int vm, const std::string& region, TimePoint since) const {
  const Vm& entry = vms_[static_cast<size_t>(vm)];
  if (WasDisturbed(entry, since)) return true;
  // A replica of another region is reached through one of the region's VMs.
  return !region.empty() && region != entry.zone.region &&
         std::any_of(vms_.begin(), vms_.end(), [&](const Vm& other) {
           return other.zone.region == region && WasDisturbed(other, since);
         });
}

bool VmFleet::StoreDisturbed(TimePoint since) const { return !store_serving_ || store_back_ >= since; }

bool VmFleet::ShuttingDown(int vm, int incarnation) const {
  const Vm& entry = vms_[static_cast<size_t>(vm)];
  return entry.incarnation == incarnation && entry.terminated != TimePoint{};
}

bool VmFleet::Restarted(int vm, TimePoint since) const {
  const Vm& entry = vms_[static_cast<size_t>(vm)];
  return entry.started >= since || entry.terminated != TimePoint{} || entry.state != State::kUp;
}

std::string VmFleet::Describe(int vm) const {
  const Vm& entry = vms_[static_cast<size_t>(vm)];
  std::string text = "vm-" + std::to_string(vm) + "." + std::to_string(entry.incarnation) + " in " +
                     entry.zone.name + "/" + entry.zone.region + ", started " +
                     std::to_string(std::chrono::duration<double>(Now() - entry.started).count()) + " s ago";
  if (entry.terminated != TimePoint{}) {
    text += ", SIGTERM " + std::to_string(std::chrono::duration<double>(Now() - entry.terminated).count()) +
            " s ago";
  }
  return text;
}

}  // namespace cornelplank::soak
