#include "request_fields.h"

#include <catch2/catch.hpp>

using namespace bronzering;
namespace http = boost::beast::http;

namespace {

auto HeaderNames() -> header_names
{
  auto names = header_names();
  names.mRequestId = "Request-Id";
  names.mDeadline = "Deadline-Ms";
  names.mTokenCounts = "Tokens";
  names.mOutputHint = "Output-Hint";
  names.mPromptParts = "Prompt-Parts";
  names.mOrganisation = "Organisation";
  names.mReserved = { "Organisation", "Engine-Hold" };
  return names;
}

auto Request() -> http_request
{
  auto request = http_request(http::verb::post, "/a/b?c=d", 11);
  request.set(http::field::host, "shop.example");
  request.set("Request-Id", "r1");
  return request;
}

} // namespace

TEST_CASE("id, key, deadline and token counts are read from the headers", "[request_fields]")
{
  auto request = Request();
  request.set("Deadline-Ms", "1500");
  request.set("Tokens", "1460,80");
  request.set("Output-Hint", "60");
  request.set(http::field::authorization, "Bearer secret");
  const auto metadata = ReadRequestMetadata(request, HeaderNames());
  CHECK(metadata.mId == "r1");
  CHECK(metadata.mKey == "secret");
  CHECK(metadata.mCallerTimeout == std::optional<duration>(std::chrono::milliseconds(1500)));
  REQUIRE(metadata.mDeclaredWork);
  CHECK(metadata.mDeclaredWork->mPromptTokens == 1460);
  CHECK(metadata.mDeclaredWork->mOutputTokens == 80);
  CHECK(metadata.mEstimatedWork.mOutputTokens == 60);
}

TEST_CASE("all prompt parts but the last are shared", "[request_fields]")
{
  const auto sharedParts = [](const std::string& aText) {
    auto request = Request();
    request.set("Prompt-Parts", aText);
    return ReadRequestMetadata(request, HeaderNames()).mSharedParts;
  };
  CHECK(sharedParts("5c1e:800, 91bd:410,e440:250") == std::vector<std::string>{ "5c1e", "91bd" });
  CHECK(sharedParts("e440:250").empty());
  CHECK(sharedParts("").empty());
}

TEST_CASE("values that cannot be parsed are treated as missing", "[request_fields]")
{
  auto request = Request();
  request.set("Deadline-Ms", "soon");
  request.set("Tokens", "1460");
  request.set("Output-Hint", "-3");
  request.set(http::field::authorization, "Basic abc");
  const auto metadata = ReadRequestMetadata(request, HeaderNames());
  CHECK(!metadata.mCallerTimeout);
  CHECK(!metadata.mDeclaredWork);
  CHECK(metadata.mEstimatedWork.mOutputTokens == 0);
  CHECK(metadata.mKey.empty());
}

TEST_CASE("a forwarded request lacks the caller's key, hop-by-hop headers and reserved headers",
          "[request_fields]")
{
  auto request = Request();
  request.set(http::field::authorization, "Bearer secret");
  request.set(http::field::connection, "keep-alive, X-Hop");
  request.set("X-Hop", "1");
  request.set("Organisation", "forged");
  request.set("engine-hold", "forged");
  request.set("X-Other", "kept");
  request.body() = "body";
  const auto forwarded = ForwardedRequest(request, HeaderNames());
  CHECK(forwarded.count(http::field::authorization) == 0);
  CHECK(forwarded.count("X-Hop") == 0);
  CHECK(forwarded.count("Organisation") == 0);
  CHECK(forwarded.count("Engine-Hold") == 0);
  CHECK(forwarded["X-Other"] == "kept");
  CHECK(forwarded["Request-Id"] == "r1");
  CHECK(forwarded.target() == "/a/b?c=d");
  CHECK(forwarded[http::field::content_length] == "4");
  CHECK(forwarded.body() == "body");
}

TEST_CASE("ambiguous request framing is detected", "[request_fields]")
{
  auto request = Request();
  CHECK(HasUnambiguousFraming(request.base()));
  SECTION("two lengths")
  {
    request.insert(http::field::content_length, "3");
    request.insert(http::field::content_length, "4");
  }
  SECTION("length and encoding")
  {
    request.insert(http::field::content_length, "3");
    request.insert(http::field::transfer_encoding, "chunked");
  }
  SECTION("an encoding that is not chunked")
  {
    request.insert(http::field::transfer_encoding, "xchunked");
  }
  SECTION("two hosts")
  {
    request.insert(http::field::host, "other.example");
  }
  CHECK(!HasUnambiguousFraming(request.base()));
}
