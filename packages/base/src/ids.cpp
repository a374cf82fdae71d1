#include <bronzering/base/ids.h>

#include <array>
#include <cstdio>

namespace bronzering {

auto ToString(request_id aId) -> std::string
{
  auto text = std::array<char, 33>{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(aId.mEntry),
                static_cast<unsigned long long>(aId.mSequence));
  return std::string(text.data(), 32);
}

} // namespace bronzering
