#pragma once

#include "libs/config/internal/client_record.h"
#include "libs/config/internal/document.h"
