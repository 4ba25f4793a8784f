#include "libs/pace/internal/replica_pace.h"
