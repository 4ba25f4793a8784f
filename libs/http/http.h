#pragma once

#include "libs/http/internal/client.h"
#include "libs/http/internal/message.h"
#include "libs/http/internal/problem.h"
#include "libs/http/internal/server.h"
#include "libs/http/internal/sse.h"
