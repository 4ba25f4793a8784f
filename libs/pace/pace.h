#pragma once

#include "libs/pace/internal/estimate.h"
#include "libs/pace/internal/replica_pace.h"
#include "libs/pace/internal/service_pace.h"
