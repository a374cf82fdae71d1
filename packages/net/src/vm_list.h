#pragma once

#include <bronzering/base/errors.h>
#include <bronzering/coordination/messages.h>

#include <string_view>
#include <vector>

namespace bronzering {

/// Parses the platform's VM list, a JSON array of objects with the string fields "vm", "role",
/// "availability_zone", "endpoint", "address" and "state". Entries with an unknown role or state
/// are skipped, since other software may be listed too. Fails with malformed_input. Thread-safe.
[[nodiscard]] auto ParseVmList(std::string_view aText) -> outcome<std::vector<vm_entry>>;

} // namespace bronzering
