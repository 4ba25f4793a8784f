#pragma once

#include "libs/retry/internal/attempt_tracker.h"
#include "libs/retry/internal/budget.h"
#include "libs/retry/internal/hedge_delay.h"
#include "libs/retry/internal/retry_policy.h"
#include "libs/retry/internal/stream_assembler.h"
