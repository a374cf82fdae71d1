#pragma once

#include <bronzering/base/name_table.h>

#include <boost/system/error_code.hpp>

#include <optional>

namespace bronzering {

/// What is wrong with a response that cannot be used. The names appear in logs and metrics.
enum class response_fault
{
  /// Its first bytes are not HTTP/1.0 or HTTP/1.1.
  NotHttp,
  Status,
  /// A field in the head, or after a chunked body.
  Field,
  /// The length, the transfer coding or a chunk.
  Framing,
  /// The head, or one chunk header, is larger than allowed.
  Size,
  /// It ended before it was whole.
  Incomplete
};
inline constexpr auto kResponseFaultNames =
  name_table<response_fault, 6>{ { { { response_fault::NotHttp, "not_http" },
                                     { response_fault::Status, "status" },
                                     { response_fault::Field, "field" },
                                     { response_fault::Framing, "framing" },
                                     { response_fault::Size, "size" },
                                     { response_fault::Incomplete, "incomplete" } } } };

/// The fault behind an error of reading a response; empty for errors of the connection.
/// Thread-safe.
[[nodiscard]] auto FaultOf(boost::system::error_code aError) -> std::optional<response_fault>;

} // namespace bronzering
