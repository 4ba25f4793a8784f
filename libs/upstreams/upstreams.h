#pragma once

#include "libs/upstreams/internal/load_report.h"
#include "libs/upstreams/internal/outlier.h"
#include "libs/upstreams/internal/prefix_cache_summary.h"
#include "libs/upstreams/internal/replica_live_state.h"
#include "libs/upstreams/internal/topology.h"
#include "libs/upstreams/internal/upstream_snapshot.h"
#include "libs/upstreams/internal/upstream_table.h"
