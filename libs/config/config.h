#pragma once

#include "libs/config/internal/client_directory.h"
#include "libs/config/internal/client_record.h"
#include "libs/config/internal/config_store.h"
#include "libs/config/internal/document.h"
#include "libs/config/internal/document_text.h"
#include "libs/config/internal/log_entry.h"
#include "libs/config/internal/names.h"
#include "libs/config/internal/patch.h"
#include "libs/config/internal/reason.h"
#include "libs/config/internal/snapshot.h"
#include "libs/config/internal/vm_record.h"
