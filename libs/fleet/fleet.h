#pragma once

#include "libs/fleet/internal/heartbeat_codec.h"
#include "libs/fleet/internal/heartbeat_loop.h"
#include "libs/fleet/internal/load_exchange.h"
#include "libs/fleet/internal/member_table.h"
#include "libs/fleet/internal/quota_client.h"
#include "libs/fleet/internal/stream_origin_client.h"
#include "libs/fleet/internal/stream_origin_exchange.h"
#include "libs/fleet/internal/stream_origin_table.h"
