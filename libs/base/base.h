#pragma once

#include "libs/base/internal/clock.h"
#include "libs/base/internal/event_log.h"
#include "libs/base/internal/hash.h"
#include "libs/base/internal/log.h"
#include "libs/base/internal/outcome.h"
#include "libs/base/internal/random.h"
#include "libs/base/internal/rcu_pointer.h"
#include "libs/base/internal/reason.h"
#include "libs/base/internal/settings.h"
#include "libs/base/internal/socket_address.h"
#include "libs/base/internal/version.h"
