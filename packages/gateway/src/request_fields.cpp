#include "request_fields.h"

#include "text_number.h"

#include <boost/algorithm/string/predicate.hpp>
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
  const auto prompt = ReadNumber(aText.substr(0, comma));
  const auto output = ReadNumber(aText.substr(comma + 1));
  if (!prompt || !output) {
    return std::nullopt;
  }
  return token_work{ *prompt, *output };
}

/// Headers that concern only the caller's connection, and those that a Connection header names.
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

auto ReadFacts(const http_request& aRequest, const header_names& aDialect) -> request_facts
{
  auto facts = request_facts();
  facts.mId = View(aRequest[aDialect.mRequestId]);
  constexpr auto kScheme = std::string_view("bearer ");
  const auto credentials = View(aRequest[http::field::authorization]);
  if (boost::algorithm::istarts_with(credentials, kScheme)) {
    facts.mKey = credentials.substr(kScheme.size());
  }
  if (const auto patience = ReadNumber(View(aRequest[aDialect.mDeadline]))) {
    constexpr auto kLongest = std::uint64_t{ 24 } * 3600 * 1000;
    facts.mPatience = std::chrono::milliseconds(std::min(*patience, kLongest));
  }
  facts.mCounted = ReadCounts(View(aRequest[aDialect.mTokenCounts]));
  facts.mEstimated = facts.mCounted.value_or(token_work());
  if (const auto hint = ReadNumber(View(aRequest[aDialect.mOutputHint]))) {
    facts.mEstimated.mOutputTokens = *hint;
  }
  return facts;
}

auto ForwardedRequest(http_request aRequest, const header_names& aDialect) -> http_request
{
  for (const auto& name : ConnectionFields(aRequest)) {
    aRequest.erase(name);
  }
  for (const auto& name : aDialect.mReserved) {
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

auto HasPlainFraming(const http_request::header_type& aHeader) -> bool
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
