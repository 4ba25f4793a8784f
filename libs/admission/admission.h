#pragma once

#include "libs/admission/internal/adaptive_limit.h"
#include "libs/admission/internal/admission_config.h"
#include "libs/admission/internal/admission_controller.h"
#include "libs/admission/internal/controller.h"
#include "libs/admission/internal/displacement_counters.h"
#include "libs/admission/internal/naive_controller.h"
#include "libs/admission/internal/node_share.h"
