#pragma once

#include <kj/encoding.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform/platform.h"
#include "tests/net/loopback.h"

namespace cornelplank::testing {

/// A fake of the platform's store that lists its items in small pages. It refuses targets that RFC 3986 does
/// not allow, and may misread those it does, or end watches early.
class PagedStore final : public net::RequestHandler {
 public:
  explicit PagedStore(net::asio::io_context& loop, size_t page_size = 1)
      : loop_(loop), page_size_(page_size) {
    net::Error error;
    server_ = net::HttpServer::Listen(loop, Loopback(), *this, &error);
    if (!server_) throw std::runtime_error(error.message());
  }

  net::Tcp::endpoint Endpoint() const { return Loopback(server_->Port()); }
  /// Writes an item with these members besides the key and the revision. The key is sent as it is, between
  /// quotes.
  void Put(const std::string& key, const std::string& members) { items_[key] = {members, ++revision_}; }
  void PutValue(const std::string& key, const std::string& value) {
    const auto* bytes = reinterpret_cast<const kj::byte*>(value.data());
    Put(key, R"(,"value":")" + std::string(kj::encodeBase64({bytes, value.size()}).cStr()) + "\"");
  }
  /// Lets every page be the first one of its prefix.
  void StopAdvancing() { advances_ = false; }
  /// What becomes of escapes in targets. kRefuse: calls with one are answered 400.
  enum class Escapes { kDecode, kKeep, kRefuse };
  void SetEscapes(Escapes escapes) { escapes_ = escapes; }
  void Remove(const std::string& key) { items_.erase(key); }
  /// Answers watches from before now with 410.
  void DropHistory() { oldest_revision_ = ++revision_; }
  /// How watches end. kHistoryGone: with 410 at once. kNoWait: without waiting for a change. kSameRevision:
  /// with the revision that they continue from, also after a change. kBusy: with 503 at once.
  enum class Watches { kWait, kHistoryGone, kNoWait, kSameRevision, kBusy };
  void SetWatches(Watches watches) { watches_ = watches; }
  int listing_calls() const { return listing_calls_; }
  /// Listings and watches.
  int calls() const { return calls_; }
  /// Time from the last 410 until the listing after it; none before that.
  std::optional<std::chrono::steady_clock::duration> TimeToList() const { return time_to_list_; }

  net::Task<> Handle(net::Request& request, net::ResponseWriter& writer) override {
    ++calls_;
    const std::string target = request.target;
    std::map<std::string, std::string> query;
    if (!ParseQuery(target, &query)) {
      co_await writer.Send({400, {}}, "");
    } else if (target.starts_with("/kv-watch")) {
      co_await Watch(query["path_prefix"], query["after"], writer);
    } else {
      ++listing_calls_;
      if (gone_at_) time_to_list_ = std::chrono::steady_clock::now() - *gone_at_;
      gone_at_.reset();
      co_await writer.Send({200, {}}, List(query["path_prefix"], query["after"]));
    }
  }

 private:
  struct Item {
    std::string members;
    uint64_t revision;
  };

  std::string List(const std::string& prefix, const std::string& after) const {
    auto item = advances_ && !after.empty() ? items_.upper_bound(after) : items_.lower_bound(prefix);
    const auto in_prefix = [&] { return item != items_.end() && item->first.starts_with(prefix); };
    std::string items;
    for (size_t count = 0; count < page_size_ && in_prefix(); ++count, ++item) {
      items += (items.empty() ? "" : ",") + ItemText(*item);
    }
    return R"({"current_rev":)" + std::to_string(revision_) + R"(,"items":[)" + items + R"(],"has_more":)" +
           (in_prefix() ? "true}" : "false}");
  }

  net::Task<> Watch(std::string prefix, std::string after, net::ResponseWriter& writer) {
    constexpr std::chrono::milliseconds kPollInterval{20};
    const std::chrono::milliseconds wait(watches_ == Watches::kNoWait ? 1 : 500);
    std::string events;
    uint64_t revision = 0;
    for (std::chrono::milliseconds waited{0}; events.empty() && waited < wait; waited += kPollInterval) {
      if (watches_ == Watches::kBusy) {
        co_await writer.Send({503, {}}, "");
        co_return;
      }
      if (watches_ == Watches::kHistoryGone || std::stoull(after) < oldest_revision_) {
        gone_at_ = std::chrono::steady_clock::now();
        co_await writer.Send({410, {}}, "");
        co_return;
      }
      revision = revision_;
      for (const auto& item : items_) {
        if (!item.first.starts_with(prefix) || item.second.revision <= std::stoull(after)) continue;
        events += (events.empty() ? "" : ",") + ItemText(item);
      }
      if (events.empty() && watches_ != Watches::kNoWait) {
        co_await net::Sleep(loop_, kPollInterval);
      }
    }
    if (watches_ == Watches::kSameRevision) revision = std::stoull(after);
    co_await writer.Send({200, {}},
                         R"({"current_rev":)" + std::to_string(revision) + R"(,"events":[)" + events + "]}");
  }

  static std::string ItemText(const std::pair<const std::string, Item>& item) {
    return R"({"key":")" + JsonText(item.first) + R"(","revision":)" + std::to_string(item.second.revision) +
           item.second.members + "}";
  }
  static std::string JsonText(const std::string& key) {
    std::string text;
    for (const char c : key) {
      if (c == '"' || c == '\\') text += '\\';
      constexpr char kDigits[] = "0123456789abcdef";
      const auto byte = static_cast<unsigned char>(c);
      text +=
          byte < 0x20 ? std::string("\\u00") + kDigits[byte / 16] + kDigits[byte % 16] : std::string(1, c);
    }
    return text;
  }
  /// Returns false for a target with characters that have to be percent-encoded.
  bool ParseQuery(std::string_view target, std::map<std::string, std::string>* query) const {
    constexpr std::string_view kPlain = "-._~!$&'()*+,;=:@/?%";
    const bool allowed = std::all_of(target.begin(), target.end(), [&](unsigned char c) {
      return c < 0x80 && (std::isalnum(c) != 0 || kPlain.find(static_cast<char>(c)) != kPlain.npos);
    });
    const bool refused = escapes_ == Escapes::kRefuse && target.find('%') != std::string_view::npos;
    if (!allowed || refused) return false;
    std::string_view rest = target.substr(std::min(target.find('?'), target.size() - 1) + 1);
    while (!rest.empty()) {
      const std::string_view pair = rest.substr(0, rest.find('&'));
      rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
      const size_t equals = std::min(pair.find('='), pair.size());
      const std::string_view text = pair.substr(std::min(equals + 1, pair.size()));
      const auto value = kj::decodeWwwForm(kj::arrayPtr(text.data(), text.size()));
      if (value.hadErrors) return false;
      (*query)[std::string(pair.substr(0, equals))] =
          escapes_ == Escapes::kDecode ? std::string(value.begin(), value.size()) : std::string(text);
    }
    return true;
  }

  net::asio::io_context& loop_;
  std::unique_ptr<net::HttpServer> server_;
  size_t page_size_;
  std::map<std::string, Item> items_;
  uint64_t revision_ = 50;
  uint64_t oldest_revision_ = 0;  // of the changes that watches may continue from
  bool advances_ = true;
  Escapes escapes_ = Escapes::kDecode;
  Watches watches_ = Watches::kWait;
  int listing_calls_ = 0;
  int calls_ = 0;
  std::optional<std::chrono::steady_clock::time_point> gone_at_;
  std::optional<std::chrono::steady_clock::duration> time_to_list_;
};

}  // namespace cornelplank::testing
