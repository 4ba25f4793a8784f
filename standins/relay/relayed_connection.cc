#include "standins/relay/relayed_connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace cornelplank::standins::relay {

Poller::Poller() : epoll_fd_(epoll_create1(EPOLL_CLOEXEC)) {}
Poller::~Poller() { close(epoll_fd_); }

void Poller::Watch(int socket_fd, uint64_t key, uint32_t events, uint32_t* registered) const {
  if (events == *registered) return;
  epoll_event event{};
  event.events = events;
  event.data.u64 = key;
  const int operation = events == 0 ? EPOLL_CTL_DEL : *registered == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  epoll_ctl(epoll_fd_, operation, socket_fd, &event);
  *registered = events;
}

RelayedConnection::RelayedConnection(int client_fd, int target_fd, uint64_t key, base::Duration delay)
    : key_(key) {
  client_.socket_fd = client_fd;
  target_.socket_fd = target_fd;
  target_.connecting = true;
  SetDelay(delay);
}

RelayedConnection::~RelayedConnection() {
  Close(client_);
  Close(target_);
}

void RelayedConnection::Close(Side& side) const {
  if (side.socket_fd < 0) return;
  if (reset_) {
    const linger immediate{1, 0};
    setsockopt(side.socket_fd, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
  }
  close(side.socket_fd);
  side.socket_fd = -1;
  side.registered = 0;  // close() removed the socket from epoll
}

void RelayedConnection::StartDropping(Direction direction) {
  if (direction != Direction::kToClient) target_.in.StartDropping();
  if (direction != Direction::kToTarget) client_.in.StartDropping();
}

void RelayedConnection::SetDelay(base::Duration delay) {
  client_.in.SetDelay(delay);
  target_.in.SetDelay(delay);
}

// Handles a side whose peer is gone. Returns false if the connection has ended. If bytes are being dropped,
// the other side stays open, since its peer must see a silent connection, not a closed one.
bool RelayedConnection::HandleBrokenSide(Side& side) {
  if (!client_.in.dropping() && !target_.in.dropping()) {
    reset_ = true;
    return false;
  }
  Close(side);
  return true;
}

bool RelayedConnection::HandleEvents(bool client_side, uint32_t events, base::TimePoint now) {
  Side& side = client_side ? client_ : target_;
  Side& other = client_side ? target_ : client_;
  if (side.socket_fd < 0) return true;
  if (side.connecting && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0) {
    int error = 0;
    socklen_t length = sizeof error;
    getsockopt(side.socket_fd, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) return HandleBrokenSide(side);
    side.connecting = false;
  }
  if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && !side.read_ended && !Read(side, other, now)) {
    return HandleBrokenSide(side);
  }
  if (side.read_ended && (events & EPOLLERR) != 0) return HandleBrokenSide(side);
  return Flush(now);
}

bool RelayedConnection::Read(Side& from, Side& to, base::TimePoint now) {
  std::array<char, 16384> buffer;
  if (!to.in.MayRead()) return true;
  const ssize_t count = recv(from.socket_fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (count < 0) return errno == EAGAIN || errno == EINTR;
  if (count == 0) {
    from.read_ended = true;
    to.in.PushEnd(now);
  } else {
    to.in.Push({buffer.data(), static_cast<size_t>(count)}, now);
  }
  return true;
}

bool RelayedConnection::Write(Side& to, base::TimePoint now) {
  if (to.socket_fd < 0 || to.connecting) return true;
  for (auto bytes = to.in.ReadyBytes(now); !bytes.empty(); bytes = to.in.ReadyBytes(now)) {
    const ssize_t count = send(to.socket_fd, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count < 0) return errno == EAGAIN || errno == EINTR;
    to.in.Pop(static_cast<size_t>(count));
  }
  if (!to.write_ended && to.in.EndReady(now)) {
    to.write_ended = true;
    shutdown(to.socket_fd, SHUT_WR);
  }
  return true;
}

bool RelayedConnection::Flush(base::TimePoint now) {
  if (!Write(client_, now) && !HandleBrokenSide(client_)) return false;
  if (!Write(target_, now) && !HandleBrokenSide(target_)) return false;
  if (client_.socket_fd < 0 && target_.socket_fd < 0) return false;
  return !(client_.write_ended && target_.write_ended);
}

uint32_t RelayedConnection::WantedEvents(const Side& side, const Side& other, base::TimePoint now) const {
  uint32_t events = 0;
  if (!side.read_ended && !side.connecting && other.in.MayRead()) events |= EPOLLIN;
  if (side.connecting || !side.in.ReadyBytes(now).empty()) events |= EPOLLOUT;
  return events;
}

void RelayedConnection::UpdateInterest(const Poller& poller, bool frozen, base::TimePoint now) {
  const auto apply = [&](Side& side, const Side& other, uint64_t key) {
    if (side.socket_fd < 0) return;
    poller.Watch(side.socket_fd, key, frozen ? 0 : WantedEvents(side, other, now), &side.registered);
  };
  apply(client_, target_, key_);
  apply(target_, client_, key_ + 1);
}

std::optional<base::TimePoint> RelayedConnection::NextDue(base::TimePoint now) const {
  const auto client = client_.in.NextDue(now);
  const auto target = target_.in.NextDue(now);
  if (!client) return target;
  return target ? std::min(*client, *target) : client;
}

}  // namespace cornelplank::standins::relay
