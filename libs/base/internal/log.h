#pragma once

#include <glog/logging.h>

/// Logs one short sentence with the name of the component as its prefix, for example
/// `CP_LOG(INFO, "config") << "Version 12 is in force."`.
#define CP_LOG(severity, component) LOG(severity) << "[" component "] "

namespace cornelplank::base {

/// Sets up glog to write to standard error. Call once at the start of main().
void InitLogging(const char* program);

}  // namespace cornelplank::base
