#include "libs/config/config.h"
