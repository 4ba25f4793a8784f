#pragma once

#include "libs/tickets/internal/relay.h"
#include "libs/tickets/internal/ticket.h"
#include "libs/tickets/internal/ticket_gate.h"
#include "libs/tickets/internal/ticket_table.h"
