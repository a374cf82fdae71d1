#include <bronzering/http/read_head.h>

#include <string_view>

namespace bronzering {

namespace http = boost::beast::http;

namespace {

/// Whether one of the lines continues the field before it.
auto HasFoldedField(std::string_view aLines) -> bool
{
  return aLines.find("\r\n ") != std::string_view::npos ||
         aLines.find("\r\n\t") != std::string_view::npos;
}

} // namespace

auto ParseHead(http::basic_parser<false>& aParser, boost::beast::flat_buffer& aInput)
  -> boost::system::error_code
{
  auto error = boost::system::error_code();
  const auto input = aInput.cdata();
  const auto parsed = aParser.put(input, error);
  // The parser takes a field and its continuation lines in one call.
  if (HasFoldedField({ static_cast<const char*>(input.data()), parsed })) {
    error = http::error::bad_obs_fold;
  }
  aInput.consume(parsed);
  return error;
}

} // namespace bronzering
