#pragma once

#include "libs/serving/internal/adaptive_admission.h"
#include "libs/serving/internal/attempt_policy.h"
#include "libs/serving/internal/cold_start_limiter.h"
#include "libs/serving/internal/hop_directory.h"
#include "libs/serving/internal/message_codec.h"
#include "libs/serving/internal/placement.h"
#include "libs/serving/internal/prompt_quarantine.h"
#include "libs/serving/internal/replica_registry.h"
#include "libs/serving/internal/request_observer.h"
#include "libs/serving/internal/request_proxy.h"
#include "libs/serving/internal/routing_config.h"
#include "libs/serving/internal/sse_event_splitter.h"
