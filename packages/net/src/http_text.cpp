#include "http_text.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/json.hpp>

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace bronzering {

namespace json = boost::json;

namespace {

/// Upper limit for timeouts, so that adding one to a time point cannot overflow.
constexpr double kMaxTimeoutSeconds = 86'400;

constexpr std::array<std::string_view, 9> kHopByHopNames = { "connection",
                                                             "keep-alive",
                                                             "proxy-authenticate",
                                                             "proxy-authorization",
                                                             "proxy-connection",
                                                             "te",
                                                             "trailer",
                                                             "transfer-encoding",
                                                             "upgrade" };

auto Title(refusal aReason) -> std::string
{
  std::string title(kRefusalNames.NameOf(aReason));
  std::replace(title.begin(), title.end(), '-', ' ');
  if (!title.empty() && title.front() >= 'a' && title.front() <= 'z') {
    title.front() = static_cast<char>(title.front() - 'a' + 'A');
  }
  return title;
}

auto NotRunValue(run_state aState) -> json::value
{
  switch (aState) {
    case run_state::NotRun:
      return true;
    case run_state::Ran:
      return false;
    case run_state::Unknown:
      break;
  }
  return "unknown";
}

} // namespace

auto IsHopByHop(std::string_view aName) -> bool
{
  return std::any_of(kHopByHopNames.begin(), kHopByHopNames.end(), [&](std::string_view aHop) {
    return boost::algorithm::iequals(aName, aHop);
  });
}

auto ListContains(std::string_view aList, std::string_view aToken) -> bool
{
  while (!aList.empty()) {
    const auto comma = std::min(aList.find(','), aList.size());
    const auto item = boost::algorithm::trim_copy(std::string(aList.substr(0, comma)));
    if (boost::algorithm::iequals(item, aToken)) {
      return true;
    }
    aList.remove_prefix(std::min(comma + 1, aList.size()));
  }
  return false;
}

auto IsSafeField(const header_field& aField) -> bool
{
  const auto isSafe = [](char aByte) { return aByte != '\r' && aByte != '\n' && aByte != '\0'; };
  return !aField.mName.empty() && aField.mName.find_first_of(": \t") == std::string::npos &&
         std::all_of(aField.mName.begin(), aField.mName.end(), isSafe) &&
         std::all_of(aField.mValue.begin(), aField.mValue.end(), isSafe);
}

auto Sha256Hex(std::string_view aText) -> std::string
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest = {};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), digest.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(digest.size() * 2);
  for (const auto byte : digest) {
    hex += kDigits[byte >> 4U];
    hex += kDigits[byte & 15U];
  }
  return hex;
}

auto ParseTimeout(std::string_view aText) -> outcome<duration>
{
  double seconds = 0;
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, seconds, std::chars_format::fixed);
  if (result.ec != std::errc() || result.ptr != end || !(seconds > 0)) {
    return boost::leaf::new_error(
      malformed_input{ "Request-Timeout must be a positive number of seconds" });
  }
  return std::max(duration(1), FromSeconds(std::min(seconds, kMaxTimeoutSeconds)));
}

auto Unquote(std::string_view aText) -> std::string_view
{
  if (aText.size() >= 2 && aText.front() == '"' && aText.back() == '"') {
    return aText.substr(1, aText.size() - 2);
  }
  return aText;
}

auto ProblemDocument(const refuse_request& aRefusal) -> std::string
{
  const auto name = kRefusalNames.NameOf(aRefusal.mReason);
  json::object problem;
  problem["type"] = "urn:bronzering:problem:" + std::string(name);
  problem["title"] = Title(aRefusal.mReason);
  problem["status"] = aRefusal.mHttpStatus;
  problem["detail"] = aRefusal.mDetail;
  problem["not_run"] = NotRunValue(aRefusal.mRunState);
  return json::serialize(problem);
}

auto ModelList(const fleet_config& aConfig, std::string_view aTokenDigest)
  -> std::optional<std::string>
{
  // Collect the services of all callers with this token.
  std::set<std::string_view> allowed;
  bool isKnown = false;
  for (const auto& [name, organisation] : aConfig.mOrganisations) {
    for (const auto& caller : organisation.mCallers) {
      const auto& digests = caller.mTokenDigests;
      if (std::find(digests.begin(), digests.end(), aTokenDigest) != digests.end()) {
        isKnown = true;
        allowed.insert(caller.mServices.begin(), caller.mServices.end());
      }
    }
  }
  if (!isKnown) {
    return std::nullopt;
  }

  json::array models;
  for (const auto& [name, service] : aConfig.mServices) {
    if (service.mKind == service_kind::Model && allowed.contains(name)) {
      models.push_back({ { "id", service.mModel },
                         { "object", "model" },
                         { "created", 0 },
                         { "owned_by", "bronzering" } });
    }
  }
  return json::serialize(json::object{ { "object", "list" }, { "data", std::move(models) } });
}

} // namespace bronzering
