#include "libs/base/internal/fatal_signal.h"

#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <ucontext.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <climits>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <ctime>
#include <string_view>

// The handler may use async-signal-safe functions and memory that has been set up before only.

namespace cornelplank::base {
namespace {

constexpr std::array kSignals{SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
constexpr size_t kStackBytes = 65536;
constexpr size_t kMaxFrames = 48;
constexpr size_t kMaxSegments = 64;
// How long the line waits for room in a full pipe.
constexpr int kWriteWaitMs = 200;

/// A loaded segment of the program or of one of its libraries.
struct Segment {
  uintptr_t begin;
  uintptr_t end;
  uintptr_t base;  // where address 0 of the file is
  char name[32];
};

std::array<Segment, kMaxSegments> segments;
size_t segment_count = 0;
int log_output = STDOUT_FILENO;
std::atomic<pid_t> handling_thread{0};

/// A line of at most PIPE_BUF bytes, which a pipe takes whole or not at all. What is too long is cut.
class FixedLine {
 public:
  FixedLine& operator<<(std::string_view text) {
    const size_t size = std::min(text.size(), sizeof bytes_ - 2 - size_);
    std::memcpy(bytes_ + size_, text.data(), size);
    size_ += size;
    return *this;
  }
  FixedLine& Number(uint64_t value, int radix = 10) {
    char digits[24];
    const auto result = std::to_chars(digits, digits + sizeof digits, value, radix);
    return *this << (radix == 16 ? "0x" : "") << std::string_view(digits, result.ptr - digits);
  }
  void Write() {
    bytes_[size_++] = '"';
    bytes_[size_++] = '\n';
    ssize_t written = write(log_output, bytes_, size_);
    if (written >= 0 || errno != EAGAIN) return;
    pollfd room{log_output, POLLOUT, 0};
    if (poll(&room, 1, kWriteWaitMs) > 0) written = write(log_output, bytes_, size_);
  }

 private:
  char bytes_[PIPE_BUF];
  size_t size_ = 0;
};

FixedLine line;

uintptr_t ProgramCounter(const void* context) {
  const auto& machine = static_cast<const ucontext_t*>(context)->uc_mcontext;
#if defined(__x86_64__)
  return static_cast<uintptr_t>(machine.gregs[REG_RIP]);
#elif defined(__aarch64__)
  return machine.pc;
#else
  return 0;
#endif
}

void AppendFrame(uintptr_t address) {
  for (size_t i = 0; i < segment_count; ++i) {
    const Segment& segment = segments[i];
    if (address < segment.begin || address >= segment.end) continue;
    line << segment.name << "+";
    address -= segment.base;
    break;
  }
  line.Number(address, 16);
}

void AppendStack(uintptr_t program_counter) {
  void* frames[kMaxFrames];
  const int count = backtrace(frames, kMaxFrames);
  int next = 0;
  while (next < count && reinterpret_cast<uintptr_t>(frames[next]) != program_counter) ++next;
  next = next == count ? 0 : next + 1;  // the frames before are the handler's
  AppendFrame(program_counter);
  for (; next < count; ++next) {
    line << " ";
    // The instruction before the return address is the call.
    AppendFrame(reinterpret_cast<uintptr_t>(frames[next]) - 1);
  }
}

void HandleSignal(int signal, siginfo_t* info, void* context) {
  pid_t none = 0;
  if (handling_thread.compare_exchange_strong(none, gettid())) {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    line << "time_ms=";
    line.Number(static_cast<uint64_t>(now.tv_sec * 1000 + now.tv_nsec / 1000000));
    line << " event=fatal_signal signal=SIG" << sigabbrev_np(signal);
    if (info->si_code > 0) {
      line << " address=";
      line.Number(reinterpret_cast<uintptr_t>(info->si_addr), 16);
    } else {
      line << " sender_pid=";
      line.Number(static_cast<uint64_t>(info->si_pid));
    }
    line << " stack=\"";
    AppendStack(ProgramCounter(context));
  } else if (none != gettid()) {
    while (true) pause();  // the other thread ends the process
  }
  // A second fault, in the handler itself, comes here with the line as far as it got.
  line.Write();
  std::signal(signal, SIG_DFL);
  raise(signal);
}

int AddSegments(dl_phdr_info* info, size_t /*size*/, void* /*data*/) {
  const std::string_view path = info->dlpi_name;
  const std::string_view name =
      path.empty() ? program_invocation_short_name : path.substr(path.rfind('/') + 1);
  for (int i = 0; i < info->dlpi_phnum && segment_count < kMaxSegments; ++i) {
    const ElfW(Phdr)& header = info->dlpi_phdr[i];
    if (header.p_type != PT_LOAD || (header.p_flags & PF_X) == 0) continue;
    Segment& segment = segments[segment_count++];
    segment.base = info->dlpi_addr;
    segment.begin = segment.base + header.p_vaddr;
    segment.end = segment.begin + header.p_memsz;
    name.copy(segment.name, sizeof segment.name - 1);
  }
  return 0;
}

}  // namespace

void LogFatalSignals(int output) {
  log_output = output;
  void* frame = nullptr;
  backtrace(&frame, 1);  // loads the library that it needs
  dl_iterate_phdr(&AddSegments, nullptr);
  static std::array<char, kStackBytes> stack;
  stack_t alternate{};
  alternate.ss_sp = stack.data();
  alternate.ss_size = stack.size();
  sigaltstack(&alternate, nullptr);
  for (const int signal : kSignals) {
    struct sigaction previous {};
    sigaction(signal, nullptr, &previous);
    if (previous.sa_handler != SIG_DFL) continue;
    struct sigaction action {};
    action.sa_sigaction = &HandleSignal;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_NODEFER;
    sigaction(signal, &action, nullptr);
  }
}

}  // namespace cornelplank::base
