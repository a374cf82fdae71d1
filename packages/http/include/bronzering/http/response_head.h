#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

namespace bronzering {

using response_head = boost::beast::http::response_header<>;

/// Whether the response is interim (1xx): it has no body, and another response to the same request
/// follows it. Precondition: CheckHead returned no error. Thread-safe.
[[nodiscard]] auto IsInterim(const response_head& aHead) -> bool;

/// Checks a head that the parser of Boost.Beast has accepted. The parser takes any three digits for
/// a status, and ignores fields that contradict the length it has found. Returns no error if the
/// head is valid and the end of the body unambiguous. Thread-safe.
[[nodiscard]] auto CheckHead(const response_head& aHead) -> boost::system::error_code;

} // namespace bronzering
