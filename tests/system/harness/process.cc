#include "tests/system/harness/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <thread>
#include <utility>

namespace cornelplank::harness {
namespace {

constexpr std::chrono::milliseconds kPollInterval{2};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Calls `done` until it returns true or `limit` has passed. Returns whether it did.
template <typename Done>
bool Poll(std::chrono::milliseconds limit, Done done) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace

std::unique_ptr<Process> Process::Start(const std::string& folder, const std::string& name,
                                        const std::string& program,
                                        const std::vector<std::string>& arguments) {
  const std::string path = (std::filesystem::path(CORNELPLANK_BINARY_FOLDER) / program).string();
  std::vector<std::string> words{path};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& word : words) argv.push_back(word.data());
  argv.push_back(nullptr);

  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string out = folder + "/" + name + ".out";
  const std::string err = folder + "/" + name + ".err";
  const int flags = O_WRONLY | O_CREAT | O_TRUNC;
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, out.c_str(), flags, 0600);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, err.c_str(), flags, 0600);
  pid_t pid = -1;
  const int failure = posix_spawn(&pid, path.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) return nullptr;
  return std::unique_ptr<Process>(new Process(folder, name, pid));
}

Process::Process(std::string folder, std::string name, pid_t pid)
    : folder_(std::move(folder)), name_(std::move(name)), pid_(pid) {}

Process::~Process() {
  if (!running()) return;
  Signal(SIGKILL);
  WaitForExit(std::chrono::seconds{10});
}

std::optional<std::string> Process::WaitForLine(const std::string& prefix, std::chrono::milliseconds limit) {
  std::optional<std::string> found;
  Poll(limit, [&] {
    const bool alive = running();
    std::istringstream lines(Output());
    for (std::string line; std::getline(lines, line);) {
      // Skips a last line without line feed: it may still be incomplete.
      if (!line.starts_with(prefix) || lines.eof()) continue;
      found = line.substr(prefix.size());
      return true;
    }
    return !alive;
  });
  return found;
}

void Process::Signal(int signal) const {
  if (!exit_code_) kill(pid_, signal);
}

bool Process::running() { return !WaitForExit(std::chrono::milliseconds{0}); }

std::optional<int> Process::WaitForExit(std::chrono::milliseconds limit) {
  Poll(limit, [this] {
    int status = 0;
    if (!exit_code_ && waitpid(pid_, &status, WNOHANG) == pid_) {
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return exit_code_.has_value();
  });
  return exit_code_;
}

std::string Process::Output() const { return ReadFile(folder_ + "/" + name_ + ".out"); }
std::string Process::Errors() const { return ReadFile(folder_ + "/" + name_ + ".err"); }

namespace {

/// A port that no socket of the loopback address uses now; 0 when there is none.
uint16_t UnusedPort() {
  const int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof address;
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  const bool bound = bind(socket_fd, raw, length) == 0 && getsockname(socket_fd, raw, &length) == 0;
  close(socket_fd);
  return bound ? ntohs(address.sin_port) : 0;
}

}  // namespace

uint16_t FreePort() {
  // The kernel may pick the same port again, and one program would then be given it for two listeners.
  static std::set<uint16_t> given;
  uint16_t port = UnusedPort();
  while (port != 0 && !given.insert(port).second) port = UnusedPort();
  return port;
}

}  // namespace cornelplank::harness
