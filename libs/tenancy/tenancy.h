#pragma once

#include "libs/tenancy/internal/tenant_directory.h"
