#include "request_fields.h"

#include <catch2/catch.hpp>

using namespace bronzering;
namespace http = boost::beast::http;

namespace {

auto Dialect() -> header_names
{
  auto dialect = header_names();
  dialect.mRequestId = "Request-Id";
  dialect.mDeadline = "Deadline-Ms";
  dialect.mTokenCounts = "Tokens";
  dialect.mOutputHint = "Output-Hint";
  dialect.mOrganisation = "Organisation";
  dialect.mReserved = { "Organisation", "Engine-Hold" };
  return dialect;
}

auto Request() -> http_request
{
  auto request = http_request(http::verb::post, "/a/b?c=d", 11);
  request.set(http::field::host, "shop.example");
  request.set("Request-Id", "r1");
  return request;
}

} // namespace

TEST_CASE("facts of a request are read from its headers", "[request_fields]")
{
  auto request = Request();
  request.set("Deadline-Ms", "1500");
  request.set("Tokens", "1460,80");
  request.set("Output-Hint", "60");
  request.set(http::field::authorization, "Bearer secret");
  const auto facts = ReadFacts(request, Dialect());
  CHECK(facts.mId == "r1");
  CHECK(facts.mKey == "secret");
  CHECK(facts.mPatience == std::optional<duration>(std::chrono::milliseconds(1500)));
  REQUIRE(facts.mCounted);
  CHECK(facts.mCounted->mPromptTokens == 1460);
  CHECK(facts.mCounted->mOutputTokens == 80);
  CHECK(facts.mEstimated.mOutputTokens == 60);
}

TEST_CASE("values that cannot be read count as absent", "[request_fields]")
{
  auto request = Request();
  request.set("Deadline-Ms", "soon");
  request.set("Tokens", "1460");
  request.set("Output-Hint", "-3");
  request.set(http::field::authorization, "Basic abc");
  const auto facts = ReadFacts(request, Dialect());
  CHECK(!facts.mPatience);
  CHECK(!facts.mCounted);
  CHECK(facts.mEstimated.mOutputTokens == 0);
  CHECK(facts.mKey.empty());
}

TEST_CASE("the endpoint gets the request without the caller's key, connection and reserved headers",
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
  const auto forwarded = ForwardedRequest(request, Dialect());
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

TEST_CASE("a request whose framing is ambiguous is not passed on", "[request_fields]")
{
  auto request = Request();
  CHECK(HasPlainFraming(request.base()));
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
  CHECK(!HasPlainFraming(request.base()));
}
