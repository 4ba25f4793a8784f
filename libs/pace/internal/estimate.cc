#include "libs/pace/internal/estimate.h"

#include <algorithm>

namespace cornelplank::pace {
namespace {

// Prompt tokens that an engine processes at once, between two tokens of the running streams.
constexpr double kChunkTokens = 2048;

base::Duration FromMs(double ms) {
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(ms));
}

}  // namespace

Forecast Estimate(const ReplicaPace& replica, const ServicePace& service, const ReplicaLoad& load,
                  const RequestShape& request, base::TimePoint now) {
  const double factor = replica.TimeFactor(now);
  const double slowdown = replica.Slowdown(now);
  const double unit_ms = service.UnitMs() * factor;
  const double slots = std::max<uint32_t>(1, load.slots);
  const double ahead = std::max(0.0, load.requests + 1 - slots);
  Forecast forecast;
  if (request.event_tokens == 0) {
    const double wait_ms = unit_ms * ahead / slots;
    const double now_factor = ReplicaPace::MeanSlowdown(slowdown, FromMs(wait_ms + unit_ms));
    forecast.wait = FromMs(wait_ms * now_factor);
    forecast.end = service.end().Apply(FromMs((wait_ms + unit_ms) * now_factor));
    forecast.first_event = forecast.end;
    return forecast;
  }
  const double prompt_ms = factor / service.PrefillTokensPerMs();  // for one prompt token
  const double stream_ms = request.output_tokens * unit_ms;
  const double wait_ms = load.prefill_tokens * prompt_ms + stream_ms * ahead / slots;
  const double first_ms = wait_ms + request.prompt_tokens * prompt_ms + unit_ms;
  const double first_slowdown = ReplicaPace::MeanSlowdown(slowdown, FromMs(first_ms));
  // A chunk of a prompt is processed between two tokens, so that an event is delayed by as many as it has
  // tokens at most.
  const double event_tokens = request.event_tokens;
  const double chunk_ms = kChunkTokens * prompt_ms;
  const double chunks = std::min(event_tokens, load.prefill_tokens / kChunkTokens);
  const double added = std::min(event_tokens - chunks, request.prompt_tokens / kChunkTokens);
  const double pause_ms = event_tokens * unit_ms + chunks * chunk_ms;
  const double stream_slowdown = ReplicaPace::MeanSlowdown(slowdown, FromMs(first_ms + stream_ms));
  forecast.wait = FromMs(wait_ms * first_slowdown);
  forecast.first_event = service.first_event().Apply(FromMs(first_ms * first_slowdown));
  forecast.longest_pause = service.longest_pause().Apply(FromMs(pause_ms * first_slowdown));
  forecast.added_pause = FromMs(added * chunk_ms * first_slowdown);
  forecast.end = service.end().Apply(FromMs(first_ms * first_slowdown + stream_ms * stream_slowdown));
  return forecast;
}

void Calibrate(ServicePace* service, const Forecast& forecast, const Course& observed) {
  if (observed.first_event) service->first_event().Observe(forecast.first_event.mean, *observed.first_event);
  if (observed.longest_pause) {
    service->longest_pause().Observe(forecast.longest_pause.mean, *observed.longest_pause);
  }
  if (observed.whole) {
    service->end().Observe(forecast.end.mean, observed.end);
  } else {
    service->end().ObserveCutOff(forecast.end.mean, observed.end);
  }
}

}  // namespace cornelplank::pace
