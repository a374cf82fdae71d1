#pragma once

#include <bronzering/base/ids.h>

#include <cstdint>
#include <string>

namespace bronzering {

/// Text of the part of the fleet document that one team owns, including its header line, with the
/// latest document revision known to contain this text. Processes exchange sections in this form.
struct fleet_section
{
  std::string mName;
  revision mRevision;
  std::string mText;

  auto operator==(const fleet_section&) const -> bool = default;
};

} // namespace bronzering
