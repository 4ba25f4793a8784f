#pragma once

#include "libs/membership/internal/confirmation.h"
#include "libs/membership/internal/connection_health.h"
#include "libs/membership/internal/entry_order.h"
#include "libs/membership/internal/gossip_message.h"
#include "libs/membership/internal/gossip_state.h"
#include "libs/membership/internal/read_schedule.h"
#include "libs/membership/internal/selectors.h"
#include "libs/membership/internal/vm_table.h"
