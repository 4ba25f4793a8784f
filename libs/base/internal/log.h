#pragma once

#include <glog/logging.h>

/// Logs one short sentence with the fixed prefix of a part, for example
/// `CP_LOG(INFO, "config") << "Version 12 is in force."`.
#define CP_LOG(severity, part) LOG(severity) << "[" part "] "

namespace cornelplank::base {

/// Sends log lines to standard error. Call once at the start of main().
void InitLogging(const char* program);

}  // namespace cornelplank::base
