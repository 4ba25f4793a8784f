#include "libs/base/internal/log.h"

namespace cornelplank::base {

void InitLogging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

}  // namespace cornelplank::base
