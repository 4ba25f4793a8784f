#pragma once

#include "libs/wire/internal/control_codec.h"
