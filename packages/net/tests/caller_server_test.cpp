#include "net_test_support.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace bronzering;

namespace {

auto Post(const std::string& aTarget, const std::string& aBody, const std::string& aFields = {})
  -> std::string
{
  return "POST " + aTarget + " HTTP/1.1\r\nHost: h\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

auto EchoedChunk(const std::string& aBody) -> std::string
{
  std::array<char, 16> size = {};
  std::snprintf(size.data(), size.size(), "%zx", aBody.size());
  return std::string(size.data()) + "\r\n" + aBody + "\r\n0\r\n\r\n";
}

/// Whether another caller gets the correct response.
auto IsUndisturbed(server_fixture& aFixture) -> bool
{
  raw_client other(aFixture.Server().Port());
  other.Send(Post("/other", "mine"));
  const auto answer = other.ReadUntil("0\r\n\r\n");
  return answer.starts_with("HTTP/1.1 200 ") && answer.ends_with(EchoedChunk("mine"));
}

/// Waits until the gauge reports aCount open connections.
auto WaitForConnections(server_fixture& aFixture, std::int64_t aCount) -> void
{
  auto& connections = aFixture.Metrics().Gauge("bronzering_caller_connections");
  while (connections.Value() != aCount) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

} // namespace

TEST_CASE("a request reaches the control thread with what the scheduler needs")
{
  // Guards against forwarding bearer tokens or hop-by-hop fields to endpoints.
  server_fixture fixture({}, Echo);
  raw_client client(fixture.Server().Port());
  client.Send(
    Post("/v1/completions",
         R"({"model":"m","prompt":"abcdefgh","max_tokens":5})",
         "Authorization: Bearer abc\r\nIdempotency-Key: \"k-1\"\r\nRequest-Timeout: 2.5\r\n"
         "traceparent: 00-1-2-01\r\nConnection: X-Private\r\nX-Private: p\r\nTE: x\r\n"));
  client.ReadUntil("0\r\n\r\n");

  REQUIRE(fixture.mRequests.size() == 1);
  const auto& request = fixture.mRequests.front();
  CHECK(request.mTokenDigest == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(request.mModel == "m");
  CHECK(request.mPromptTokens == 2);
  CHECK(request.mOutputTokens == 5);
  CHECK(request.mIdempotencyKey == "k-1");
  CHECK(request.mTimeout == duration(2'500'000));
  std::string names;
  for (const auto& field : request.mHeaders) {
    names += field.mName + " ";
  }
  CHECK(names == "Idempotency-Key Request-Timeout traceparent ");
}

TEST_CASE("malformed requests are refused and the connection is closed")
{
  // Guards against invalid input that crashes the process or reaches an endpoint.
  server_fixture fixture({}, Echo);
  for (const auto* text : {
         "nonsense\r\n\r\n",
         "GET / HTTP/9.9\r\nHost: h\r\n\r\n",
         "GET / HTTP/1.1\r\nHost: h\r\nbad field: x\r\n\r\n",
         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
         "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na",
         ("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: "
          "chunked\r\n\r\n0\r\n\r\n"),
         "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
       }) {
    INFO(text);
    raw_client client(fixture.Server().Port());
    client.Send(text);
    const auto answer = client.ReadAll();
    CHECK(answer.starts_with("HTTP/1.1 400 "));
    CHECK(answer.find("application/problem+json") != std::string::npos);
    CHECK(answer.find(R"("not_run":true)") != std::string::npos);
  }
  CHECK(fixture.mRequests.empty());
  CHECK(IsUndisturbed(fixture));
}

TEST_CASE("requests with invalid fields are refused and the connection stays open")
{
  // Guards against closing a keep-alive connection because of one invalid request.
  server_fixture fixture({}, Echo);
  raw_client client(fixture.Server().Port());
  for (const auto& text : {
         std::string("GET / HTTP/1.1\r\n\r\n"),
         Post("/x", "", "Request-Timeout: -1\r\n"),
         Post("/x", "", "Request-Timeout: 1e3\r\n"),
         Post("/x", "", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"),
         Post("/x", "", "Idempotency-Key: " + std::string(300, 'k') + "\r\n"),
         Post("/v1/chat/completions", "{"),
       }) {
    INFO(text);
    client.Send(text);
    CHECK(client.ReadUntil("}").starts_with("HTTP/1.1 400 "));
  }
  client.Send(Post("/x", "still here"));
  CHECK(client.ReadUntil("0\r\n\r\n").ends_with(EchoedChunk("still here")));
}

TEST_CASE("oversized headers and bodies are refused")
{
  // Guards against unbounded memory use by callers.
  caller_server_settings settings;
  settings.mMaxHeaderBytes = 1024;
  settings.mMaxBodyBytes = 2048;
  server_fixture fixture(settings, Echo);
  const auto port = fixture.Server().Port();

  raw_client headers(port);
  headers.Send("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n");
  CHECK(headers.ReadAll().starts_with("HTTP/1.1 431 "));
  raw_client body(port);
  body.Send(Post("/", std::string(100'000, 'x')));
  CHECK(body.ReadAll().starts_with("HTTP/1.1 413 "));
  raw_client chunked(port);
  chunked.Send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n" +
               std::string(0xfff, 'x') + "\r\n0\r\n\r\n");
  CHECK(chunked.ReadAll().starts_with("HTTP/1.1 413 "));
  CHECK(fixture.mRequests.empty());
  CHECK(IsUndisturbed(fixture));
}

TEST_CASE("an incomplete request is refused after the read timeout")
{
  // Guards against incomplete requests that hold connections open forever.
  caller_server_settings settings;
  settings.mReadTimeout = std::chrono::milliseconds(50);
  server_fixture fixture(settings, Echo);
  raw_client head(fixture.Server().Port());
  head.Send("GET / HTTP/1.1\r\nHo");
  raw_client body(fixture.Server().Port());
  body.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
  CHECK(IsUndisturbed(fixture));
  CHECK(head.ReadAll().starts_with("HTTP/1.1 408 "));
  CHECK(body.ReadAll().starts_with("HTTP/1.1 408 "));
}

TEST_CASE("idle connections are closed and the number of connections is limited")
{
  // Guards against running out of file descriptors.
  caller_server_settings settings;
  settings.mIdleTimeout = std::chrono::milliseconds(50);
  settings.mMaxConnections = 2;
  server_fixture fixture(settings, Echo);
  raw_client first(fixture.Server().Port());
  raw_client second(fixture.Server().Port());
  raw_client third(fixture.Server().Port());
  CHECK(third.ReadAll().empty());
  CHECK(first.ReadAll().empty());
  CHECK(second.ReadAll().empty());
  WaitForConnections(fixture, 0);
  CHECK(IsUndisturbed(fixture));
}

TEST_CASE("pipelined requests are answered in order")
{
  // Guards against responses that are swapped between requests of one connection.
  caller_server_settings settings;
  settings.mThreads = 2;
  server_fixture fixture(settings, Echo);
  raw_client client(fixture.Server().Port());
  std::string requests;
  for (int i = 0; i < 200; ++i) {
    requests += Post("/x", "request " + std::to_string(i));
  }
  client.Send(requests);
  for (int i = 0; i < 200; ++i) {
    REQUIRE(client.ReadUntil("0\r\n\r\n").ends_with(EchoedChunk("request " + std::to_string(i))));
  }
}

TEST_CASE("a caller that stops reading does not block others")
{
  // Guards against head-of-line blocking between callers, and against unbounded writes to a caller
  // that does not read.
  const auto part = std::string(1 << 20, 'x');
  server_fixture fixture({}, [&](caller_server& aServer, const caller_request& aRequest) {
    if (aRequest.mTarget != "/large") {
      Echo(aServer, aRequest);
      return;
    }
    aServer.Apply(start_answer{ aRequest.mExchange, 200, {} });
    for (int i = 0; i < 64; ++i) {
      aServer.Apply(continue_answer{ aRequest.mExchange, part });
    }
    aServer.Apply(finish_answer{ aRequest.mExchange });
  });
  raw_client client(fixture.Server().Port());
  client.Send(Post("/large", ""));
  fixture.WaitFor([](const server_fixture& aRecord) { return aRecord.mRequests.size() == 1; });
  for (int i = 0; i < 50; ++i) {
    REQUIRE(IsUndisturbed(fixture));
  }
  // The last of the other exchanges ends shortly after its response has been read. The fixture
  // gets no event for that, so poll for it.
  while (fixture.Server().OpenExchanges() != 1) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  CHECK(fixture.Server().OpenExchanges() == 1);

  // When the caller resumes reading, it receives the complete response.
  std::size_t count = 0;
  client.ReadUntil("\r\n\r\n");
  while (count < 64 * part.size()) {
    const auto line = client.ReadUntil("\r\n");
    count += std::stoul(line, nullptr, 16);
    client.ReadUntil("\r\n");
  }
  CHECK(client.ReadUntil("0\r\n\r\n") == "0\r\n\r\n");
}

TEST_CASE("a disconnect is reported once, and only during an exchange")
{
  // Guards against processing that continues after the caller has disconnected.
  server_fixture fixture({}, [](caller_server& aServer, const caller_request& aRequest) {
    if (aRequest.mTarget != "/wait") {
      Echo(aServer, aRequest);
    }
  });
  {
    raw_client client(fixture.Server().Port());
    client.Send(Post("/x", "a"));
    client.ReadUntil("0\r\n\r\n");
    client.Send(Post("/wait", "b"));
    fixture.WaitFor([](const server_fixture& aRecord) { return aRecord.mRequests.size() == 2; });
  }
  fixture.WaitFor([](const server_fixture& aRecord) { return !aRecord.mGone.empty(); });
  CHECK(fixture.mGone == std::set{ fixture.mRequests.back().mExchange.mValue });
  CHECK(fixture.Server().OpenExchanges() == 0);
  CHECK(IsUndisturbed(fixture));
}

TEST_CASE("a truncated response is never terminated like a complete one")
{
  // Guards against a caller that mistakes a truncated response for a complete one.
  server_fixture fixture({}, [](caller_server& aServer, const caller_request& aRequest) {
    const auto exchange = aRequest.mExchange;
    if (aRequest.mTarget == "/other") {
      Echo(aServer, aRequest);
      return;
    }
    const auto length = aRequest.mTarget == "/length";
    aServer.Apply(start_answer{ exchange,
                                200,
                                length ? std::vector<header_field>{ { "Content-Length", "11" } }
                                       : std::vector<header_field>{} });
    aServer.Apply(continue_answer{ exchange, "half" });
    if (length) {
      aServer.Apply(finish_answer{ exchange });
    } else {
      aServer.Apply(abort_answer{ exchange });
    }
  });
  for (const auto* target : { "/chunked", "/length" }) {
    raw_client client(fixture.Server().Port());
    client.Send(Post(target, ""));
    // The Content-Length is chosen so that the head does not look like a final chunk.
    const auto answer = client.ReadAll();
    CHECK(answer.find("0\r\n\r\n") == std::string::npos);
    CHECK(answer.size() < answer.find("\r\n\r\n") + 4 + 11);
  }
  CHECK(IsUndisturbed(fixture));
}

TEST_CASE("refusals are problem documents with not_run and Retry-After")
{
  // Guards against clients that cannot tell whether a retry is safe.
  server_fixture fixture({}, [](caller_server& aServer, const caller_request& aRequest) {
    refuse_request refusalDetails;
    refusalDetails.mExchange = aRequest.mExchange;
    refusalDetails.mReason = refusal::Overloaded;
    refusalDetails.mRetryAfter = std::chrono::milliseconds(1200);
    refusalDetails.mRunState = aRequest.mTarget == "/unknown" ? run_state::Unknown
                               : aRequest.mTarget == "/ran"   ? run_state::Ran
                                                              : run_state::NotRun;
    aServer.Apply(refusalDetails);
  });
  raw_client client(fixture.Server().Port());
  const std::map<std::string, std::string> expected = { { "/unknown", R"("unknown")" },
                                                        { "/ran", "false" },
                                                        { "/not", "true" } };
  for (const auto& [target, value] : expected) {
    client.Send(Post(target, ""));
    const auto answer = client.ReadUntil("}");
    CHECK(answer.starts_with("HTTP/1.1 503 Service Unavailable\r\n"));
    CHECK(answer.find("\r\nRetry-After: 2\r\n") != std::string::npos);
    CHECK(answer.ends_with(R"({"type":"urn:bronzering:problem:overloaded","title":"Overloaded",)"
                           R"("status":503,"detail":"","not_run":)" +
                           value + "}"));
  }
}

TEST_CASE("progress counts body bytes and a drain closes connections after their exchange")
{
  // Guards against flow-control windows that never reopen, and against a drain that truncates a
  // response.
  server_fixture fixture({}, [](caller_server& aServer, const caller_request& aRequest) {
    aServer.Apply(start_answer{ aRequest.mExchange, 200, {} });
    aServer.Apply(continue_answer{ aRequest.mExchange, std::string(1000, 'x') });
  });
  raw_client idle(fixture.Server().Port());
  raw_client client(fixture.Server().Port());
  client.Send(Post("/x", ""));
  fixture.WaitFor([](const server_fixture& aRecord) {
    return !aRecord.mProgress.empty() && aRecord.mProgress.begin()->second == 1000;
  });
  WaitForConnections(fixture, 2);

  fixture.Server().StopAccepting();
  CHECK(idle.ReadAll().empty());
  fixture.Server().Apply(finish_answer{ fixture.mRequests.front().mExchange });
  CHECK(client.ReadAll().ends_with("\r\n0\r\n\r\n"));
  CHECK(fixture.Server().OpenExchanges() == 0);
}

TEST_CASE("models are listed from the configuration")
{
  // Guards against listing models that a caller may not use.
  auto config = std::make_shared<fleet_config>();
  for (const auto* name : { "a", "b" }) {
    config->mServices[name].mKind = service_kind::Model;
    config->mServices[name].mModel = std::string("model-") + name;
  }
  config->mOrganisations["o"].mCallers.push_back(
    { "c", "t", { "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad" }, { "a" } });
  server_fixture fixture({}, Echo);
  fixture.Server().SetConfiguration(config);
  raw_client client(fixture.Server().Port());
  client.Send("GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer abc\r\n\r\n");
  const auto models = client.ReadUntil("]}");
  CHECK(models.find("model-a") != std::string::npos);
  CHECK(models.find("model-b") == std::string::npos);
  client.Send("GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer x\r\n\r\n");
  CHECK(client.ReadUntil("}").starts_with("HTTP/1.1 401 "));
}
