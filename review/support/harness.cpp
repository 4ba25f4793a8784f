#include "review/support/harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>

namespace review {
namespace {

constexpr Milliseconds kReadyLimit{15000};
constexpr size_t kReadBytes = 65536;
constexpr size_t kHeadReadBytes = 1024;  // little, so that a body stays unread until it is asked for

const Clock::time_point kStart = Clock::now();

std::mutex children_mutex;
std::set<pid_t> children;

sockaddr_in ToSocketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool SameName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return std::tolower(a) == std::tolower(b); });
}

/// Waits until `handle` has `events`; false after `limit`.
bool Await(int handle, int16_t events, Milliseconds limit) {
  pollfd entry{handle, events, 0};
  return poll(&entry, 1, static_cast<int>(std::max<int64_t>(0, limit.count()))) > 0;
}

Milliseconds Left(Clock::time_point end) {
  return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(end - Clock::now()));
}

std::string EncodeBase64(const std::string& bytes) {
  static constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    const size_t count = std::min<size_t>(3, bytes.size() - i);
    for (size_t j = 0; j < 3; ++j) {
      group = group << 8 | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0u);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += j <= count ? kDigits[(group >> (18 - 6 * j)) & 63] : '=';
    }
  }
  return text;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  const size_t at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const size_t begin = at + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

}  // namespace

void EndChildren() {
  const std::lock_guard<std::mutex> lock(children_mutex);
  for (const pid_t pid : children) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  children.clear();
}

void ForgetChild(pid_t pid) {
  const std::lock_guard<std::mutex> lock(children_mutex);
  children.erase(pid);
}

void Abandon(const std::string& problem) {
  std::cerr << "the case could not run: " << problem << "\n";
  Record::Line("could not run: " + problem);
  EndChildren();
  std::_Exit(kCouldNotRun);
}

void Finish(int exit_code) {
  EndChildren();
  std::cout.flush();
  // Threads of stand-ins may still run, so nothing is destroyed.
  std::_Exit(exit_code);
}

void SleepFor(Milliseconds time) { std::this_thread::sleep_for(time); }

bool WaitUntil(const std::function<bool()>& condition, Milliseconds limit) {
  const auto end = Clock::now() + limit;
  while (!condition()) {
    if (Clock::now() >= end) return false;
    SleepFor(Milliseconds(20));
  }
  return true;
}

void Record::Line(const std::string& text) {
  static std::mutex mutex;
  static std::ofstream file("record.txt", std::ios::trunc);
  const std::lock_guard<std::mutex> lock(mutex);
  const auto now = std::chrono::duration_cast<Milliseconds>(Clock::now() - kStart).count();
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f s  ", static_cast<double>(now) / 1000);
  file << time << text << std::endl;
}

std::string RunIp(int last) {
  const auto pid = static_cast<uint32_t>(getpid());
  return "127." + std::to_string(32 + (pid >> 8 & 31)) + "." + std::to_string(pid & 255) + "." +
         std::to_string(last);
}

std::vector<int> FreePorts(const std::vector<std::string>& ips, size_t count) {
  std::vector<int> ports;
  for (int attempt = 0; ports.size() < count && attempt < 1000; ++attempt) {
    int port = 0;
    bool is_free = true;
    std::vector<int> handles;
    for (const std::string& ip : ips) {
      for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int handle = socket(AF_INET, type, 0);
        handles.push_back(handle);
        sockaddr_in address = ToSocketAddress(ip, port);
        socklen_t size = sizeof address;
        if (bind(handle, reinterpret_cast<sockaddr*>(&address), size) != 0) is_free = false;
        if (port == 0 && getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
          port = ntohs(address.sin_port);
        }
      }
    }
    for (const int handle : handles) close(handle);
    if (is_free && std::find(ports.begin(), ports.end(), port) == ports.end()) ports.push_back(port);
  }
  if (ports.size() < count) Abandon("no free ports");
  return ports;
}

std::string Message::Header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (SameName(key, name)) return value;
  }
  return "";
}

int Message::Status() const {
  const size_t space = start.find(' ');
  return space == std::string::npos ? 0 : std::atoi(start.c_str() + space);
}

std::string Message::Target() const {
  const size_t begin = start.find(' ');
  if (begin == std::string::npos) return "";
  return start.substr(begin + 1, start.find(' ', begin + 1) - begin - 1);
}

const char* ReadEndName(ReadEnd end) {
  switch (end) {
    case ReadEnd::kComplete:
      return "complete";
    case ReadEnd::kConnection:
      return "until the connection's end";
    case ReadEnd::kCut:
      return "cut off";
    case ReadEnd::kTimeout:
      return "timed out";
  }
  return "";
}

std::unique_ptr<Connection> Connection::Open(const Address& address, Milliseconds limit) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<Connection>(handle);
  const sockaddr_in peer = ToSocketAddress(address.ip, address.port);
  const int one = 1;
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect(handle, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0) {
    if (errno != EINPROGRESS || !Await(handle, POLLOUT, limit)) return nullptr;
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return nullptr;
  }
  return connection;
}

bool Connection::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (written > 0) {
      bytes.remove_prefix(static_cast<size_t>(written));
    } else if (written < 0 && (errno == EAGAIN || errno == EINTR)) {
      if (!Await(handle_, POLLOUT, Milliseconds(30000))) return false;
    } else {
      return false;
    }
  }
  return true;
}

bool Connection::ReadSome(size_t size, Milliseconds limit) {
  if (eof_ || failed_) return false;
  if (!Await(handle_, POLLIN, limit)) return false;
  std::string part(std::min(size, kReadBytes), '\0');
  const ssize_t count = recv(handle_, part.data(), part.size(), MSG_DONTWAIT);
  if (count > 0) {
    buffer_.append(part, 0, static_cast<size_t>(count));
    return true;
  }
  if (count == 0) eof_ = true;
  if (count < 0 && errno != EAGAIN && errno != EINTR) failed_ = true;
  return count < 0 && !failed_;
}

ReadEnd Connection::ReadHead(Message* message, Milliseconds limit) {
  const auto end = Clock::now() + limit;
  size_t head_end;
  while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (eof_ || failed_) return ReadEnd::kCut;
    if (Left(end).count() == 0) return ReadEnd::kTimeout;
    ReadSome(kHeadReadBytes, Left(end));
  }
  const std::string head = buffer_.substr(0, head_end + 2);
  buffer_.erase(0, head_end + 4);
  size_t line = head.find("\r\n");
  message->start = head.substr(0, line);
  for (line += 2; line < head.size();) {
    const size_t line_end = head.find("\r\n", line);
    const size_t colon = head.find(':', line);
    if (colon < line_end) {
      size_t value = colon + 1;
      while (value < line_end && head[value] == ' ') ++value;
      message->headers.emplace_back(head.substr(line, colon - line), head.substr(value, line_end - value));
    }
    line = line_end + 2;
  }
  return ReadEnd::kComplete;
}

ReadEnd Connection::ReadBody(Message* message, Milliseconds limit, const std::function<void()>& on_data) {
  const auto end = Clock::now() + limit;
  const bool request = message->start.rfind("HTTP/", 0) != 0;
  const bool chunked = SameName(message->Header("Transfer-Encoding"), "chunked");
  const std::string length = message->Header("Content-Length");
  const bool until_end = !chunked && length.empty() && !request;
  size_t missing = chunked || length.empty() ? 0 : std::stoull(length);
  if (!chunked && !until_end && missing == 0) return ReadEnd::kComplete;
  while (true) {
    size_t before = message->body.size();
    bool done = false;
    if (chunked) {
      while (true) {
        const size_t line_end = buffer_.find("\r\n");
        if (line_end == std::string::npos) break;
        const size_t size = std::stoull(buffer_.substr(0, line_end), nullptr, 16);
        if (buffer_.size() < line_end + 4 + size) break;
        message->body.append(buffer_, line_end + 2, size);
        buffer_.erase(0, line_end + 4 + size);
        if (size == 0) done = true;
        if (done) break;
      }
    } else {
      const size_t part = until_end ? buffer_.size() : std::min(missing, buffer_.size());
      message->body.append(buffer_, 0, part);
      buffer_.erase(0, part);
      if (!until_end) missing -= part;
      done = !until_end && missing == 0;
    }
    if (on_data && message->body.size() > before) on_data();
    if (done) return ReadEnd::kComplete;
    if (failed_) return ReadEnd::kCut;
    if (eof_) return until_end ? ReadEnd::kConnection : ReadEnd::kCut;
    if (Left(end).count() == 0) return ReadEnd::kTimeout;
    ReadSome(kReadBytes, Left(end));
  }
}

bool Connection::PeerGone() const {
  char byte;
  const ssize_t size = recv(handle_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
}

void Connection::CloseGracefully() {
  shutdown(handle_, SHUT_WR);
  const auto end = Clock::now() + Milliseconds(5000);
  while (!eof_ && !failed_ && Left(end).count() > 0) {
    buffer_.clear();
    ReadSome(kReadBytes, Left(end));
  }
  Close();
}

void Connection::Close() {
  if (handle_ >= 0) close(handle_);
  handle_ = -1;
}

void Connection::Reset() {
  const linger now{1, 0};
  setsockopt(handle_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  Close();
}

Listener::Listener(const std::string& ip, int port, Handler handler, int receive_buffer, int segment)
    : handler_(std::move(handler)) {
  handle_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(handle_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (receive_buffer > 0) {
    setsockopt(handle_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  }
  if (segment > 0) setsockopt(handle_, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  sockaddr_in address = ToSocketAddress(ip, port);
  socklen_t size = sizeof address;
  if (bind(handle_, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(handle_, 512) != 0) {
    Abandon("can't listen at " + ip + ":" + std::to_string(port));
  }
  getsockname(handle_, reinterpret_cast<sockaddr*>(&address), &size);
  address_ = {ip, ntohs(address.sin_port)};
  thread_ = std::thread([this] {
    while (!stopped_) {
      if (!Await(handle_, POLLIN, Milliseconds(50))) continue;
      const int accepted = accept4(handle_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) continue;
      const int enabled = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
      std::thread([handler = handler_, accepted] {
        Connection connection(accepted);
        handler(connection);
      }).detach();
    }
  });
}

void Listener::Stop() {
  if (stopped_.exchange(true)) return;
  thread_.join();
  close(handle_);
}

Store::Store(const std::string& ip) {
  listener_ = std::make_unique<Listener>(ip, 0, [this](Connection& connection) { Serve(connection); });
}

void Store::SetGate(std::function<bool(const std::string&)> gate) {
  const std::lock_guard<std::mutex> lock(mutex_);
  gate_ = std::move(gate);
}

void Store::Put(const std::string& key, const std::string& value) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Change change{++revision_, key, value};
    items_[key] = change;
    history_.push_back(change);
  }
  changed_.notify_all();
  Record::Line("store: put " + key);
}

void Store::Remove(const std::string& key) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    items_.erase(key);
    history_.push_back({++revision_, key, std::nullopt});
  }
  changed_.notify_all();
  Record::Line("store: remove " + key);
}

void Store::Serve(Connection& connection) {
  while (true) {
    Message request;
    if (connection.ReadHead(&request, Milliseconds(120000)) != ReadEnd::kComplete) return;
    const std::string target = request.Target();
    std::function<bool(const std::string&)> gate;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      gate = gate_;
    }
    if (gate && !gate(target)) return;
    const std::string prefix = QueryValue(target, "path_prefix");
    std::string body;
    if (target.rfind("/kv-range", 0) == 0) {
      body = List(prefix);
    } else {
      const uint64_t after = std::strtoull(QueryValue(target, "after").c_str(), nullptr, 10);
      body = Watch(prefix, after, Milliseconds(std::atoi(QueryValue(target, "wait_ms").c_str())));
    }
    if (!connection.Write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

std::string Store::List(const std::string& prefix) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string items;
  for (const auto& [key, item] : items_) {
    if (key.rfind(prefix, 0) != 0) continue;
    items += (items.empty() ? "" : ",") + ("{\"key\":\"" + key) + "\",\"value\":\"" +
             EncodeBase64(*item.value) + "\",\"revision\":" + std::to_string(item.revision) +
             ",\"created\":" + std::to_string(item.revision) + ",\"lease\":0}";
  }
  return "{\"items\":[" + items + "],\"has_more\":false,\"current_rev\":" + std::to_string(revision_) + "}";
}

std::string Store::Watch(const std::string& prefix, uint64_t after, Milliseconds wait) {
  std::unique_lock<std::mutex> lock(mutex_);
  std::string events;
  const auto collect = [&] {
    for (const Change& change : history_) {
      if (change.revision <= after || change.key.rfind(prefix, 0) != 0) continue;
      events += (events.empty() ? "" : ",") + ("{\"key\":\"" + change.key) +
                "\",\"revision\":" + std::to_string(change.revision) +
                (change.value ? ",\"value\":\"" + EncodeBase64(*change.value) + "\",\"lease\":0}"
                              : ",\"tombstone\":true}");
    }
    return !events.empty();
  };
  changed_.wait_for(lock, wait, collect);
  return "{\"events\":[" + events + "],\"current_rev\":" + std::to_string(revision_) + "}";
}

Proxy::Proxy(const std::string& ip, const Address& target, double bytes_per_second)
    : target_(target), bytes_per_second_(bytes_per_second) {
  listener_ = std::make_unique<Listener>(ip, 0, [this](Connection& connection) { Serve(connection); });
}

void Proxy::SilenceOpen() {
  ++generation_;
  Record::Line("all open channels to the store go silent");
}

void Proxy::Carry(size_t bytes) {
  Clock::time_point done;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto time =
        std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(bytes / bytes_per_second_));
    link_free_at_ = std::max(link_free_at_, Clock::now()) + time;
    done = link_free_at_;
  }
  std::this_thread::sleep_until(done);
}

void Proxy::Serve(Connection& connection) {
  constexpr size_t kPacketBytes = 4096;
  const int generation = generation_;
  const auto server = Connection::Open(target_);
  if (!server) return;
  std::vector<char> bytes(kPacketBytes);
  while (true) {
    pollfd ends[2] = {{connection.handle(), POLLIN, 0}, {server->handle(), POLLIN, 0}};
    poll(ends, 2, 50);
    if (generation != generation_) {
      // Keeps both ends open and reads nothing more.
      SleepFor(std::chrono::minutes(2));
      return;
    }
    for (int i = 0; i < 2; ++i) {
      if (ends[i].revents == 0) continue;
      const ssize_t size = recv(ends[i].fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
      if (size <= 0) return;
      if (i == 1) Carry(static_cast<size_t>(size));
      if (!(i == 0 ? *server : connection).Write({bytes.data(), static_cast<size_t>(size)})) return;
    }
  }
}

std::string ReplicaEntry(const std::string& service, const Address& address, const std::string& zone,
                         int slots, const std::string& state, uint64_t born) {
  return "{\"service\":\"" + service + "\",\"address\":\"" + address.Text() + "\",\"zone\":\"" + zone +
         "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + state +
         "\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":" + std::to_string(born) + "}";
}

uint64_t WallClockMs() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

Fleet::Fleet(std::vector<VmPlace> places, std::string zones, std::vector<Address> stores)
    : places_(std::move(places)), zones_(std::move(zones)), stores_(std::move(stores)) {
  std::vector<std::string> ips;
  for (const VmPlace& place : places_) ips.push_back(place.ip);
  const auto ports = FreePorts(ips, 6);
  ports_ = {ports[0], ports[1], ports[2], ports[3], ports[4], ports[5]};
  const char* folder = std::getenv("REVIEW_FOLDER");
  if (folder == nullptr) Abandon("REVIEW_FOLDER is not set");
  folder_ = folder;
  pids_.assign(places_.size(), 0);
}

Fleet::~Fleet() { KillAll(); }

std::string Fleet::LogPath(size_t vm) const { return folder_ + "/vm" + std::to_string(vm) + ".log"; }

std::string Fleet::SettingsPath(size_t vm) const { return folder_ + "/vm" + std::to_string(vm) + ".ini"; }

void Fleet::WriteSettings(size_t vm) const {
  const std::string& ip = places_[vm].ip;
  const auto at = [&](int port) { return ip + ":" + std::to_string(port); };
  std::string seeds;
  for (size_t i = 0; i < std::min<size_t>(3, places_.size()); ++i) {
    seeds += (i == 0 ? "" : ",") + places_[i].ip + ":" + std::to_string(ports_.control);
  }
  // platform/settings.ini.template with the bounds of gavekv-sentral.
  std::ofstream(SettingsPath(vm))
      << "[vm]\nname=frontend-" << vm << "\nip=" << ip << "\nzone=" << places_[vm].zone
      << "\nzones=" << zones_ << "\nseeds=" << seeds
      << "\nmemory_mb=260\ndescriptors=4100\n\n[listen]\nclients=" << at(ports_.frontend)
      << "\nreadiness=" << at(ports_.ready) << "\ndirectory=" << at(ports_.directory)
      << "\nbeats=" << at(ports_.control) << "\nhops=" << at(ports_.internal)
      << "\nmetrics=" << at(ports_.metrics) << "\n\n[store]\naddress=" << stores_[vm % stores_.size()].Text()
      << "\n\n[limits]\nsecond_sends=54\nchange_bound=4000ms\nevacuation_bound=5000ms\n"
         "drain_bound=4000ms\ngrace=8s\n";
}

void Fleet::Start(size_t vm) {
  WriteSettings(vm);
  const char* program = std::getenv("REVIEW_ENTRY");
  if (program == nullptr || access(program, X_OK) != 0) Abandon("cornelplank-entry is not built");
  pids_[vm] = StartChild(program, {}, {"CORNELPLANK_NODE_FILE=" + SettingsPath(vm)}, LogPath(vm));
  Record::Line("VM " + std::to_string(vm) + " started at " + places_[vm].ip + " in " + places_[vm].zone);
}

void Fleet::Signal(size_t vm, int signal) {
  if (pids_[vm] == 0) return;
  kill(pids_[vm], signal);
  Record::Line("VM " + std::to_string(vm) + ": signal " + std::to_string(signal));
}

bool Fleet::AwaitEnd(size_t vm, Milliseconds limit) {
  return WaitUntil([&] { return !Running(vm); }, limit);
}

bool Fleet::Running(size_t vm) {
  if (pids_[vm] == 0) return false;
  int status = 0;
  if (waitpid(pids_[vm], &status, WNOHANG) != pids_[vm]) return true;
  ForgetChild(pids_[vm]);
  pids_[vm] = 0;
  Record::Line("VM " + std::to_string(vm) + " has ended, " +
               (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                    : "status " + std::to_string(WEXITSTATUS(status))));
  return false;
}

void Fleet::KillAll() {
  for (pid_t& pid : pids_) {
    if (pid == 0) continue;
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    ForgetChild(pid);
    pid = 0;
  }
}

bool Fleet::BecomesReady(size_t vm, Milliseconds limit) {
  return WaitUntil(
      [&] {
        const auto connection = Connection::Open({places_[vm].ip, ports_.ready}, Milliseconds(200));
        Message answer;
        return connection && connection->Write("GET /readiness HTTP/1.1\r\nHost: vm\r\n\r\n") &&
               connection->ReadHead(&answer, Milliseconds(300)) == ReadEnd::kComplete &&
               answer.Status() == 200;
      },
      limit);
}

void Fleet::AwaitReady(size_t vm) {
  if (!BecomesReady(vm, kReadyLimit)) Abandon("VM " + std::to_string(vm) + " doesn't get ready");
}

size_t Fleet::CountLog(size_t vm, const std::string& text) const {
  std::ifstream log(LogPath(vm));
  size_t count = 0;
  for (std::string line; std::getline(log, line);) {
    if (line.find(text) != std::string::npos) ++count;
  }
  return count;
}

std::vector<std::string> Fleet::LogTail(size_t vm, size_t count) const {
  std::ifstream log(LogPath(vm));
  std::vector<std::string> lines;
  for (std::string line; std::getline(log, line);) lines.push_back(line);
  if (lines.size() > count) lines.erase(lines.begin(), lines.end() - static_cast<ptrdiff_t>(count));
  for (std::string& line : lines) {
    const size_t path = line.find(folder_ + "/");
    if (path != std::string::npos) line.erase(path, folder_.size() + 1);
  }
  return lines;
}

pid_t StartChild(const std::string& program, const std::vector<std::string>& arguments,
                 const std::vector<std::string>& environment, const std::string& output) {
  std::vector<std::string> words{program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  for (std::string& word : words) argv.push_back(word.data());
  argv.push_back(nullptr);
  std::vector<std::string> variables = environment;
  for (const char* name : {"PATH", "HOME", "LANG"}) {
    if (const char* value = std::getenv(name)) variables.push_back(std::string(name) + "=" + value);
  }
  std::vector<char*> envp;
  for (std::string& variable : variables) envp.push_back(variable.data());
  envp.push_back(nullptr);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid < 0) Abandon("fork failed");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    const int log = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(program.c_str(), argv.data(), envp.data());
    _exit(127);
  }
  const std::lock_guard<std::mutex> lock(children_mutex);
  children.insert(pid);
  return pid;
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
