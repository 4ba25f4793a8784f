#include "apps/load/runner.h"

#include <utility>

namespace cornelplank::load {
namespace {

using std::chrono::milliseconds;

// Added to the request's time limit, so that the gateway's own error arrives before the client gives up. Also
// the time limit of a request for the entry list.
constexpr milliseconds kTimeoutGrace{1000};
// Keeps streams that are refused at once from being retried in a tight loop.
constexpr milliseconds kPauseAfterFailure{200};
constexpr milliseconds kEntryListCheckInterval{500};
constexpr milliseconds kMaxEventWait{1000};

double MillisecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

// Checks and measures the response to one request.
class ResponseReceiver {
 public:
  ResponseReceiver(const RequestPlan& plan, std::chrono::steady_clock::time_point due)
      : check_(plan), streamed_(plan.streamed), due_(due) {}

  void OnHead(int status, const http::Headers& headers) {
    status_ = status;
    measured_.served_region = http::HeaderValue(headers, "Served-Region");
    measured_.entry_leaving = headers.contains("Entry-Leaving");
    measured_.route_reason = http::HeaderValue(headers, "Route-Reason");
  }

  void OnBody(std::string_view bytes) {
    if (status_ != 200 || !streamed_) {
      body_ += bytes;
      return;
    }
    const uint64_t tokens = check_.Feed(bytes);
    const double now = MillisecondsSince(due_);
    for (uint64_t token = 0; token < tokens; ++token) {
      if (measured_.first_token_ms < 0) {
        measured_.first_token_ms = now;
      } else {
        measured_.gaps_ms.push_back(static_cast<float>(now - last_token_ms_));
      }
      last_token_ms_ = now;
    }
    measured_.tokens += tokens;
  }

  // `ended` is false when the exchange failed before the end of the response.
  Measurement Finish(bool ended, const http::ExchangeState& state) {
    measured_.total_ms = MillisecondsSince(due_);
    if (status_ == 0) {
      measured_.result = state.request_sent ? Result::kNoAnswer : Result::kNoConnection;
    } else if (status_ != 200) {
      measured_.result = ErrorResult(body_);
      const auto problem = base::ParseJson(body_);
      measured_.code = std::to_string(status_);
      if (problem.is_object()) measured_.code += " " + problem.value("code", "");
    } else if (streamed_) {
      measured_.result = check_.StreamResult(ended);
      if (!check_.error_code().empty()) measured_.code = "event " + check_.error_code();
    } else {
      measured_.result = ended ? check_.BodyResult(body_) : Result::kTruncated;
    }
    return std::move(measured_);
  }

 private:
  AnswerCheck check_;
  bool streamed_;
  std::chrono::steady_clock::time_point due_;
  int status_ = 0;    // 0 until the head of the response was received
  std::string body_;  // unless it is a stream
  double last_token_ms_ = 0;
  Measurement measured_;
};

// Reads the response until it ends or fails.
Measurement Receive(const RequestPlan& plan, std::chrono::steady_clock::time_point due,
                    http::Exchange& exchange) {
  using Kind = http::ExchangeEvent::Kind;
  ResponseReceiver receiver(plan, due);
  while (true) {
    const http::ExchangeEvent event = exchange.Next(kMaxEventWait);
    if (event.kind == Kind::kHead) receiver.OnHead(event.status, event.headers);
    if (event.kind == Kind::kData) receiver.OnBody(event.data);
    if (event.kind == Kind::kEnd || event.kind == Kind::kFailed) {
      return receiver.Finish(event.kind == Kind::kEnd, exchange.state());
    }
  }
}

}  // namespace

Runner::Runner(LoadOptions options)
    : options_(std::move(options)), client_(http::Client::Create()), entries_(options_.urls) {}

void Runner::Start() {
  start_ = Clock::now();
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto launch = [this](void (Runner::*run)()) {
    active_threads_.fetch_add(1);
    threads_.emplace_back([this, run] {
      (this->*run)();
      active_threads_.fetch_sub(1);
    });
  };
  if (options_.use_entry_list) launch(&Runner::RunEntryRefresh);
  if (options_.rate > 0) launch(&Runner::RunArrivals);
  for (unsigned stream = 0; stream < options_.streams; ++stream) launch(&Runner::RunStream);
}

void Runner::StopSending() {
  const std::lock_guard<std::mutex> lock(mutex_);
  stopped_ = true;
  state_changed_.notify_all();
}

void Runner::Join() {
  // RunArrivals adds workers to threads_ while this waits, so each thread is taken out under the lock.
  for (size_t index = 0;; ++index) {
    std::thread thread;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (index >= threads_.size()) return;
      thread = std::move(threads_[index]);
    }
    thread.join();
  }
}

double Runner::seconds() const { return MillisecondsSince(start_) / 1000; }

bool Runner::SleepUntil(Clock::time_point at) {
  std::unique_lock<std::mutex> lock(mutex_);
  return !state_changed_.wait_until(lock, at, [this] { return stopped_; });
}

void Runner::RunArrivals() {
  Arrivals arrivals(options_.rate, options_.seed);
  while (true) {
    const auto offset = arrivals.Next();
    if (offset >= options_.duration || !SleepUntil(start_ + offset)) break;
    Enqueue(next_index_.fetch_add(1), start_ + offset);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  arrivals_ended_ = true;
  state_changed_.notify_all();
}

void Runner::Enqueue(uint64_t index, Clock::time_point due) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (idle_workers_ <= queued_requests_.size()) {
    if (worker_count_ >= options_.max_in_flight) {
      Measurement not_sent;
      not_sent.result = Result::kNotSent;
      stats_.Add(std::move(not_sent));
      return;
    }
    ++worker_count_;
    active_threads_.fetch_add(1);
    threads_.emplace_back([this] {
      RunWorker();
      active_threads_.fetch_sub(1);
    });
  }
  queued_requests_.emplace_back(index, due);
  state_changed_.notify_all();
}

void Runner::RunWorker() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    ++idle_workers_;
    state_changed_.wait(lock, [this] { return !queued_requests_.empty() || arrivals_ended_; });
    --idle_workers_;
    if (queued_requests_.empty()) return;
    const auto [index, due] = queued_requests_.front();
    queued_requests_.pop_front();
    lock.unlock();
    stats_.Add(Execute(MakePlan(options_, index), due));
    lock.lock();
  }
}

void Runner::RunStream() {
  while (Clock::now() < start_ + options_.duration) {
    RequestPlan plan = MakePlan(options_, next_index_.fetch_add(1));
    plan.streamed = true;
    Measurement measured = Execute(plan, Clock::now());
    const bool completed = measured.result == Result::kWhole;
    stats_.Add(std::move(measured));
    if (!SleepUntil(Clock::now() + (completed ? milliseconds{0} : kPauseAfterFailure))) return;
  }
}

Measurement Runner::Execute(const RequestPlan& plan, Clock::time_point due) {
  return options_.use_entry_list ? ExecuteByEntryList(plan, due)
                                 : ExecuteAt(options_.urls[plan.url_index], plan, due);
}

Measurement Runner::ExecuteAt(const std::string& url, const RequestPlan& plan, Clock::time_point due) {
  http::ClientRequest request;
  request.method = "POST";
  request.url = url + "/v1/chat/completions";
  request.headers["Content-Type"] = "application/json";
  request.headers["Request-Timeout-Ms"] = std::to_string(options_.timeout.count());
  if (!options_.key.empty()) request.headers["Authorization"] = "Bearer " + options_.key;
  if (!options_.client_class.empty()) request.headers["Priority-Class"] = options_.client_class;
  if (!options_.home.empty()) request.headers["Data-Home"] = options_.home;
  request.body = RequestBody(options_, plan);
  request.timeout = options_.timeout + kTimeoutGrace;
  return Receive(plan, due, *client_->Open(request));
}

Measurement Runner::ExecuteByEntryList(const RequestPlan& plan, Clock::time_point due) {
  Measurement measured;
  for (const std::string& url : entries_.Candidates()) {
    measured = ExecuteAt(url, plan, due);
    // Only a request of which no byte was sent may be sent again: the entry may have executed any other.
    const bool unreachable = measured.result == Result::kNoConnection;
    if (unreachable || measured.entry_leaving) entries_.Demote(url);
    if (!unreachable) break;
  }
  return measured;
}

void Runner::RunEntryRefresh() {
  do {
    if (entries_.NeedsRefresh(clock_.Now())) RefreshEntries();
  } while (Clock::now() < start_ + options_.duration && SleepUntil(Clock::now() + kEntryListCheckInterval));
}

bool Runner::RefreshEntries() {
  for (const std::string& url : entries_.Candidates()) {
    http::ClientRequest request;
    request.url = url + "/v1/entry";
    request.timeout = kTimeoutGrace;
    if (!options_.key.empty()) request.headers["Authorization"] = "Bearer " + options_.key;
    const auto response = client_->Send(request, nullptr, nullptr);
    if (response && response->status == 200 && entries_.Adopt(response->body, clock_.Now())) return true;
  }
  return false;
}

}  // namespace cornelplank::load
