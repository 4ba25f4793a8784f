#pragma once

#include "libs/tickets/internal/relay.h"
#include "libs/tickets/internal/send_conditions.h"
#include "libs/tickets/internal/ticket.h"
#include "libs/tickets/internal/ticket_table.h"
