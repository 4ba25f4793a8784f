#pragma once

#include "libs/orders/internal/desired_state.h"
#include "libs/orders/internal/order.h"
#include "libs/orders/internal/order_planner.h"
#include "libs/orders/internal/send_gate.h"
