#pragma once

namespace cornelplank::pace {}  // namespace cornelplank::pace
