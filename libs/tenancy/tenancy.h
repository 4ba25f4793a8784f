#pragma once

#include "libs/tenancy/internal/quota_book.h"
#include "libs/tenancy/internal/quota_bucket.h"
#include "libs/tenancy/internal/region_size.h"
#include "libs/tenancy/internal/tenant_directory.h"
