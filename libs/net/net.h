#pragma once

#include "libs/net/internal/connection_pool.h"
#include "libs/net/internal/http_call.h"
#include "libs/net/internal/http_server.h"
#include "libs/net/internal/loop.h"
#include "libs/net/internal/memory_account.h"
#include "libs/net/internal/message.h"
