#include "request_fields.h"

#include "text_number.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <vector>

namespace bronzering {

namespace http = boost::beast::http;

namespace {

auto View(boost::beast::string_view aText) -> std::string_view
{
  return { aText.data(), aText.size() };
}

auto ReadCounts(std::string_view aText) -> std::optional<token_work>
{
  const auto comma = aText.find(',');
  if (comma == std::string_view::npos) {
    return std::nullopt;
  }
  const auto prompt = ParseUnsigned(aText.substr(0, comma));
  const auto output = ParseUnsigned(aText.substr(comma + 1));
  if (!prompt || !output) {
    return std::nullopt;
  }
  return token_work{ *prompt, *output };
}

/// Further parts of a prompt are not read, which bounds the work and memory for one request.
constexpr auto kMaxSharedParts = std::size_t{ 32 };

auto ReadSharedParts(std::string_view aText) -> std::vector<std::string>
{
  auto parts = std::vector<std::string>();
  // The part after the last comma belongs to this request only.
  for (auto comma = aText.find(',');
       comma != std::string_view::npos && parts.size() < kMaxSharedParts;
       comma = aText.find(',')) {
    const auto part = boost::algorithm::trim_copy(aText.substr(0, comma));
    parts.emplace_back(part.substr(0, part.find(':')));
    aText.remove_prefix(comma + 1);
  }
  return parts;
}

/// Hop-by-hop headers, including those named by the Connection header, and headers that are set
/// again for the forwarded request.
auto ConnectionFields(const http_request& aRequest) -> std::vector<std::string>
{
  auto names = std::vector<std::string>{
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
    "Trailer",    "Upgrade",    "Expect",           "Content-Length",    "Proxy-Authorization"
  };
  for (const auto& token : http::token_list(aRequest[http::field::connection])) {
    names.emplace_back(View(token));
  }
  return names;
}

} // namespace

auto ReadRequestMetadata(const http_request& aRequest, const header_names& aHeaderNames)
  -> request_metadata
{
  auto metadata = request_metadata();
  metadata.mId = View(aRequest[aHeaderNames.mRequestId]);
  constexpr auto kScheme = std::string_view("bearer ");
  const auto credentials = View(aRequest[http::field::authorization]);
  if (boost::algorithm::istarts_with(credentials, kScheme)) {
    metadata.mKey = credentials.substr(kScheme.size());
  }
  if (const auto timeout = ParseUnsigned(View(aRequest[aHeaderNames.mDeadline]))) {
    constexpr auto kLongest = std::uint64_t{ 24 } * 3600 * 1000;
    metadata.mCallerTimeout = std::chrono::milliseconds(std::min(*timeout, kLongest));
  }
  metadata.mDeclaredWork = ReadCounts(View(aRequest[aHeaderNames.mTokenCounts]));
  metadata.mEstimatedWork = metadata.mDeclaredWork.value_or(token_work());
  if (const auto hint = ParseUnsigned(View(aRequest[aHeaderNames.mOutputHint]))) {
    metadata.mEstimatedWork.mOutputTokens = *hint;
  }
  metadata.mSharedParts = ReadSharedParts(View(aRequest[aHeaderNames.mPromptParts]));
  return metadata;
}

auto ForwardedRequest(http_request aRequest, const header_names& aHeaderNames) -> http_request
{
  for (const auto& name : ConnectionFields(aRequest)) {
    aRequest.erase(name);
  }
  for (const auto& name : aHeaderNames.mReserved) {
    aRequest.erase(name);
  }
  aRequest.erase(http::field::authorization);
  aRequest.version(11);
  if (!aRequest.body().empty() || aRequest.method() == http::verb::post ||
      aRequest.method() == http::verb::put || aRequest.method() == http::verb::patch) {
    aRequest.content_length(aRequest.body().size());
  }
  return aRequest;
}

auto HasUnambiguousFraming(const http_request::header_type& aHeader) -> bool
{
  const auto lengths = aHeader.count(http::field::content_length);
  const auto encodings = aHeader.count(http::field::transfer_encoding);
  if (lengths + encodings > 1 || aHeader.count(http::field::host) != 1) {
    return false;
  }
  return encodings == 0 ||
         boost::algorithm::iequals(View(aHeader[http::field::transfer_encoding]), "chunked");
}

} // namespace bronzering
