#include <bronzering/http/response_fault.h>

#include <boost/beast/http/error.hpp>

namespace bronzering {

namespace http = boost::beast::http;

auto FaultOf(boost::system::error_code aError) -> std::optional<response_fault>
{
  if (aError.category() != make_error_code(http::error::bad_status).category()) {
    return std::nullopt;
  }
  switch (static_cast<http::error>(aError.value())) {
    case http::error::bad_version:
      return response_fault::NotHttp;
    case http::error::bad_status:
    case http::error::bad_reason:
      return response_fault::Status;
    case http::error::bad_field:
    case http::error::bad_value:
    case http::error::bad_obs_fold:
    case http::error::bad_line_ending:
      return response_fault::Field;
    case http::error::bad_content_length:
    case http::error::multiple_content_length:
    case http::error::bad_transfer_encoding:
    case http::error::bad_chunk:
    case http::error::bad_chunk_extension:
      return response_fault::Framing;
    case http::error::header_limit:
    case http::error::body_limit:
    case http::error::buffer_overflow:
      return response_fault::Size;
    case http::error::partial_message:
      return response_fault::Incomplete;
    default:
      return std::nullopt;
  }
}

} // namespace bronzering
