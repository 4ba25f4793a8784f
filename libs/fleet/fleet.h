#pragma once

#include "libs/fleet/internal/beat_codec.h"
#include "libs/fleet/internal/beat_loop.h"
#include "libs/fleet/internal/member_table.h"
