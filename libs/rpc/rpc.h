#pragma once

#include "libs/rpc/internal/message.h"
#include "libs/rpc/internal/node.h"
