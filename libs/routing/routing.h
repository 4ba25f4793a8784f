#pragma once

#include "libs/routing/internal/decision.h"
#include "libs/routing/internal/hop_path.h"
#include "libs/routing/internal/link_budget.h"
#include "libs/routing/internal/naive_router.h"
#include "libs/routing/internal/request.h"
#include "libs/routing/internal/residency.h"
#include "libs/routing/internal/router.h"
#include "libs/routing/internal/routing_snapshot.h"
#include "libs/routing/internal/scored_router.h"
