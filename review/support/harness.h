#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins and helpers of the review's scripts: a store, replicas, clients and real entry VMs, with plain
/// sockets and one thread for each connection. Everything is on loopback addresses.
namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Exit codes of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Prints the problem and ends the process with `kCouldNotRun`, after ending all VMs.
[[noreturn]] void Abandon(const std::string& problem);

/// Ends all VMs and child processes, and this process with the exit code.
[[noreturn]] void Finish(int exit_code);

void SleepFor(Milliseconds time);
/// Polls `condition` until it holds; false when it doesn't within `limit`.
bool WaitUntil(const std::function<bool()>& condition, Milliseconds limit);

/// Writes `record.txt` in the working folder: one line for each event, with the time since the start.
class Record {
 public:
  static void Line(const std::string& text);
};

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/// An address 127.X.Y.`last` that depends on the process id, so that runs at the same time don't collide.
std::string RunIp(int last);
/// Ports that are free on all of these addresses.
std::vector<int> FreePorts(const std::vector<std::string>& ips, size_t count);

/// An HTTP message. The body is decoded from chunks.
struct Message {
  std::string start;  // request line or status line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /// The value of the header; empty when it is missing. Ignores case.
  std::string Header(std::string_view name) const;
  /// Of a response.
  int Status() const;
  /// Second word of the start line.
  std::string Target() const;
};

/// How the reading of a message ended.
enum class ReadEnd {
  kComplete,    // by its length or its last chunk
  kConnection,  // a message without a length ended with the connection
  kCut,         // the connection ended or was reset before that
  kTimeout,
};

const char* ReadEndName(ReadEnd end);

/// One TCP connection.
class Connection {
 public:
  explicit Connection(int handle) : handle_(handle) {}
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Null when no connection could be made.
  static std::unique_ptr<Connection> Open(const Address& address, Milliseconds limit = Milliseconds(1000));

  bool Write(std::string_view bytes);
  /// Reads the start line and the headers.
  ReadEnd ReadHead(Message* message, Milliseconds limit);
  /// Reads the body that follows the head. `on_data`, if any, is called after each part.
  ReadEnd ReadBody(Message* message, Milliseconds limit, const std::function<void()>& on_data = nullptr);
  /// Reads at most `size` bytes beyond those that are buffered; false at the end of the connection.
  bool ReadSome(size_t size, Milliseconds limit);
  /// Whether the peer has closed or reset the connection, judged without reading.
  bool PeerGone() const;
  /// Sends no more, and closes after reading what still comes, so that the peer isn't reset.
  void CloseGracefully();
  void Close();
  /// Closes with a reset.
  void Reset();
  int handle() const { return handle_; }

 private:
  int handle_;
  std::string buffer_;
  bool eof_ = false;
  bool failed_ = false;
};

/// Accepts connections at an address and serves each on a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Connection&)>;
  /// `port` 0: any. `receive_buffer` and `segment`: size of the sockets' receive buffers and of the largest
  /// TCP segments that they take; 0 leaves the system's default.
  Listener(const std::string& ip, int port, Handler handler, int receive_buffer = 0, int segment = 0);
  ~Listener() { Stop(); }
  const Address& address() const { return address_; }
  void Stop();

 private:
  Address address_;
  int handle_ = -1;
  Handler handler_;
  std::thread thread_;
  std::atomic<bool> stopped_{false};
};

/// The platform's store: items with revisions, listings and watches.
class Store {
 public:
  explicit Store(const std::string& ip);
  const Address& address() const { return listener_->address(); }
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// Called with the target of each call before it is answered; the call is dropped when it returns false.
  void SetGate(std::function<bool(const std::string&)> gate);

 private:
  struct Change {
    uint64_t revision = 0;
    std::string key;
    std::optional<std::string> value;
  };
  void Serve(Connection& connection);
  std::string List(const std::string& prefix);
  std::string Watch(const std::string& prefix, uint64_t after, Milliseconds wait);

  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 10;
  std::map<std::string, Change> items_;
  std::vector<Change> history_;
  std::function<bool(const std::string&)> gate_;
  std::unique_ptr<Listener> listener_;
};

/// Passes connections on to `target`, over a link of `bytes_per_second` towards the one who connects.
class Proxy {
 public:
  Proxy(const std::string& ip, const Address& target, double bytes_per_second);
  const Address& address() const { return listener_->address(); }
  /// All open connections go silent for good, in both directions and without a reset. New ones work.
  void SilenceOpen();

 private:
  void Serve(Connection& connection);
  /// Waits until the link has carried this many bytes.
  void Carry(size_t bytes);

  Address target_;
  double bytes_per_second_;
  std::mutex mutex_;
  Clock::time_point link_free_at_ = Clock::now();
  std::atomic<int> generation_{0};
  std::unique_ptr<Listener> listener_;
};

/// The store's entry of a replica.
std::string ReplicaEntry(const std::string& service, const Address& address, const std::string& zone,
                         int slots = 8, const std::string& state = "ready", uint64_t born = 0);

/// Milliseconds since 1970.
uint64_t WallClockMs();

/// Placement of an entry VM.
struct VmPlace {
  std::string ip;
  std::string zone;
};

/// Entry VMs that share ports and settings, started as the deploy file says.
class Fleet {
 public:
  struct Ports {
    int frontend = 0, ready = 0, control = 0, directory = 0, internal = 0, metrics = 0;
  };
  /// `zones`: "ZONE:REGION,...". `store`: the store's address for each VM; one address for all when it has
  /// one element.
  Fleet(std::vector<VmPlace> places, std::string zones, std::vector<Address> stores);
  ~Fleet();
  /// From now on settings are written with these zones.
  void SetZones(std::string zones) { zones_ = std::move(zones); }
  /// Writes the VM's settings file.
  void WriteSettings(size_t vm) const;
  /// Writes the settings and starts the VM's process. It is killed when this process ends.
  void Start(size_t vm);
  void Signal(size_t vm, int signal);
  /// Waits for the process to end, at most `limit`, and returns whether it has.
  bool AwaitEnd(size_t vm, Milliseconds limit);
  void KillAll();
  bool Running(size_t vm);
  pid_t Pid(size_t vm) const { return pids_[vm]; }
  /// Waits until the VM's readiness is 200.
  void AwaitReady(size_t vm);
  /// Whether it becomes ready within `limit`.
  bool BecomesReady(size_t vm, Milliseconds limit);
  Address Frontend(size_t vm) const { return {places_[vm].ip, ports_.frontend}; }
  Address Directory(size_t vm) const { return {places_[vm].ip, ports_.directory}; }
  const Ports& ports() const { return ports_; }
  size_t size() const { return places_.size(); }
  /// Lines of the VM's log that contain `text`.
  size_t CountLog(size_t vm, const std::string& text) const;
  /// The last lines of the VM's log.
  std::vector<std::string> LogTail(size_t vm, size_t count) const;

 private:
  std::string LogPath(size_t vm) const;
  std::string SettingsPath(size_t vm) const;

  std::vector<VmPlace> places_;
  std::string zones_;
  std::vector<Address> stores_;
  std::string folder_;
  Ports ports_;
  std::vector<pid_t> pids_;
};

/// Kills all VMs and child processes that were started and not ended.
void EndChildren();
/// Starts `program` with `arguments`; it is killed when this process ends.
pid_t StartChild(const std::string& program, const std::vector<std::string>& arguments,
                 const std::vector<std::string>& environment, const std::string& output);
/// Forgets a child after it has been waited for.
void ForgetChild(pid_t pid);

/// False when the environment variable TROUBLE is 0.
bool Trouble();

}  // namespace review
