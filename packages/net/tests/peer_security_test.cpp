#include "peer_test_support.h"
#include "psk_context.h"

#include <bronzering/wire/frame.h>
#include <bronzering/wire/message_codec.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <openssl/evp.h>
#include <openssl/x509.h>

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using tls_stream = boost::asio::ssl::stream<tcp::socket>;

/// A blocking TLS client that does not use peer_network.
class raw_client
{
public:
  explicit raw_client(std::shared_ptr<boost::asio::ssl::context> aTls)
    : mTls(std::move(aTls))
    , mStream(mContext, *mTls)
  {
  }
  auto Connect(std::uint16_t aPort) -> void
  {
    mStream.next_layer().connect({ boost::asio::ip::address_v4::loopback(), aPort });
  }
  auto Handshake() -> error_code
  {
    auto error = error_code();
    mStream.handshake(boost::asio::ssl::stream_base::client, error);
    return error;
  }
  auto Write(std::string_view aBytes) -> void
  {
    auto error = error_code();
    boost::asio::write(mStream, boost::asio::buffer(aBytes), error);
  }
  auto WritePlain(std::string_view aBytes) -> void
  {
    auto error = error_code();
    boost::asio::write(mStream.next_layer(), boost::asio::buffer(aBytes), error);
  }
  /// Reads and discards data until the peer closes the connection.
  auto ReadToEnd() -> void
  {
    auto error = error_code();
    auto buffer = std::array<char, 1024>();
    while (!error) {
      mStream.next_layer().read_some(boost::asio::buffer(buffer), error);
    }
  }
  /// Reads TLS data until a hello frame is complete.
  auto ReadHello() -> hello
  {
    auto decoder = frame_decoder();
    auto buffer = std::array<char, 1024>();
    while (true) {
      const auto next = decoder.Next();
      if (next && *next) {
        return std::get<hello>(**next);
      }
      decoder.Feed({ buffer.data(), mStream.read_some(boost::asio::buffer(buffer)) });
    }
  }

private:
  boost::asio::io_context mContext;
  std::shared_ptr<boost::asio::ssl::context> mTls;
  tls_stream mStream;
};

auto FirstHello() -> std::string
{
  auto helloFrame = hello();
  helloFrame.mIdentity = { process_role::Entry, "vm-x", "zone-1", "", { 77 } };
  helloFrame.mSession = 5;
  helloFrame.mAttempt = 1;
  auto bytes = std::string();
  AppendFrame(helloFrame, bytes);
  return bytes;
}

/// Checks that a network still accepts a valid peer and has reported no other one.
auto CheckAcceptsValidPeer(test_process& aProcess) -> void
{
  const auto before = test_process::CountOf<peer_up>(aProcess.Events());
  auto validPeer = test_process(process_role::Entry, "vm-friend", 50);
  validPeer.Network().Open(aProcess.Address());
  const auto peer = validPeer.WaitForPeer();
  REQUIRE(peer != peer_id());
  validPeer.Network().Send(peer, withdraw{ { 1, 1 } });
  REQUIRE(aProcess.WaitForCount<peer_received>(1));
  CHECK(test_process::CountOf<peer_up>(aProcess.Events()) == before + 1);
}

/// Creates a TLS 1.3 context with a self-signed certificate, as an attacker without the key could.
auto MakeCertificateContext() -> std::shared_ptr<boost::asio::ssl::context>
{
  auto result = std::make_shared<boost::asio::ssl::context>(boost::asio::ssl::context::tls);
  auto* key = EVP_EC_gen("P-256");
  auto* certificate = X509_new();
  X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
  X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
  X509_set_pubkey(certificate, key);
  X509_sign(certificate, key, EVP_sha256());
  SSL_CTX_use_certificate(result->native_handle(), certificate);
  SSL_CTX_use_PrivateKey(result->native_handle(), key);
  X509_free(certificate);
  EVP_PKEY_free(key);
  return result;
}

} // namespace

TEST_CASE("a peer with another key cannot connect", "[peer][security]")
{
  auto agent = test_process(process_role::Agent, "vm-b", 2);
  auto peerWithOtherKey = test_process(process_role::Entry, "vm-x", 1, [](auto& aSettings) {
    aSettings.mPresharedKey = "another secret, long enough";
  });
  peerWithOtherKey.Network().Open(agent.Address());
  CheckAcceptsValidPeer(agent);
  while (agent.Metric("bronzering_link_failed_handshakes_total") < 3) {
    std::this_thread::sleep_for(10ms);
  }
  CHECK(peerWithOtherKey.Metric("bronzering_link_failed_handshakes_total") >= 2);
  CHECK(peerWithOtherKey.Events().empty());
}

TEST_CASE("a TLS client without a key cannot connect", "[peer][security]")
{
  auto agent = test_process(process_role::Agent, "vm-b", 2);
  auto client =
    raw_client(std::make_shared<boost::asio::ssl::context>(boost::asio::ssl::context::tls));
  client.Connect(agent.Network().Port());
  CHECK(client.Handshake());
  CheckAcceptsValidPeer(agent);
}

// Guards against a process that trusts any server listening at a configured address.
TEST_CASE("a server with a certificate instead of the key is refused", "[peer][security]")
{
  auto context = boost::asio::io_context();
  auto acceptor = tcp::acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
  auto entry = test_process(process_role::Entry, "vm-a", 1);
  entry.Network().Open("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));

  auto tls = MakeCertificateContext();
  auto stream = tls_stream(acceptor.accept(), *tls);
  auto error = error_code();
  stream.handshake(boost::asio::ssl::stream_base::server, error);
  // A TLS 1.3 server may finish its handshake before the client rejects it; the read then fails.
  auto byte = std::array<char, 1>();
  if (!error) {
    stream.read_some(boost::asio::buffer(byte), error);
  }
  CHECK(error);
  CHECK(entry.Events().empty());
}

TEST_CASE("connections that send plain TCP or nothing are closed after the timeout",
          "[peer][security]")
{
  auto agent = test_process(
    process_role::Agent, "vm-b", 2, [](auto& aSettings) { aSettings.mHandshakeTimeout = 200ms; });
  const auto tls = MakePskContext(kTestKey);
  auto plain = raw_client(tls);
  plain.Connect(agent.Network().Port());
  plain.WritePlain(FirstHello());
  plain.ReadToEnd();

  auto silent = raw_client(tls);
  silent.Connect(agent.Network().Port());
  silent.ReadToEnd();

  auto withoutHello = raw_client(tls);
  withoutHello.Connect(agent.Network().Port());
  REQUIRE_FALSE(withoutHello.Handshake());
  withoutHello.ReadToEnd();
  CHECK(agent.Events().empty());
  CheckAcceptsValidPeer(agent);
}

// Guards against a faulty peer that holds the key and crashes others with malformed data.
TEST_CASE("malformed data after the handshake closes only its connection", "[peer][security]")
{
  auto agent = test_process(process_role::Agent, "vm-b", 2);
  const auto tls = MakePskContext(kTestKey);
  auto first = raw_client(tls);
  first.Connect(agent.Network().Port());
  REQUIRE_FALSE(first.Handshake());
  first.Write(std::string(10'000, '\x07'));
  first.ReadToEnd();

  // Malformed data after a valid hello: first as a frame, then as a message.
  auto second = raw_client(tls);
  second.Connect(agent.Network().Port());
  REQUIRE_FALSE(second.Handshake());
  second.Write(FirstHello() + std::string(10'000, '\xff'));
  second.ReadToEnd();

  auto third = raw_client(tls);
  third.Connect(agent.Network().Port());
  REQUIRE_FALSE(third.Handshake());
  auto helloFrame = hello();
  helloFrame.mIdentity = { process_role::Entry, "vm-y", "zone-1", "", { 78 } };
  helloFrame.mAttempt = 1;
  auto bytes = std::string();
  AppendFrame(helloFrame, bytes);
  AppendFrame(fragment{ 1, 0, 0, true, "not a message" }, bytes);
  third.Write(bytes);
  third.ReadToEnd();
  REQUIRE(agent.WaitForCount<peer_down>(1));
  CheckAcceptsValidPeer(agent);
}

// Guards against failures during a rolling upgrade, which mixes minor versions: unknown frames and
// messages from the newer peer are skipped, and known ones are delivered.
TEST_CASE("a peer with a newer minor version is compatible", "[peer][version]")
{
  auto agent = test_process(process_role::Agent, "vm-b", 2);
  auto newer = raw_client(MakePskContext(kTestKey));
  newer.Connect(agent.Network().Port());
  REQUIRE_FALSE(newer.Handshake());
  auto helloFrame = hello();
  helloFrame.mMinor = kProtocolMinor + 1;
  helloFrame.mIdentity = { process_role::Entry, "vm-new", "zone-1", "", { 90 } };
  helloFrame.mAttempt = 1;
  auto bytes = std::string();
  AppendFrame(helloFrame, bytes);
  newer.Write(bytes);
  const auto reply = newer.ReadHello();
  CHECK(reply.mStatus == hello_status::Accepted);
  CHECK(reply.mMinor == kProtocolMinor);

  // A frame of unknown kind 9, a message of unknown kind 200 (made by overwriting the union's
  // type), and a known message.
  auto unknownMessage = EncodeMessage(withdraw{ { 1, 1 } });
  const auto kind = unknownMessage.find('\x02', 8);
  REQUIRE(kind != std::string::npos);
  unknownMessage[kind] = static_cast<char>(200);
  bytes = std::string("\x03\x00\x00\x00\x01\x09\x00\x00xyz", 11);
  AppendFrame(fragment{ 1, 0, 0, true, unknownMessage }, bytes);
  const auto known = EncodeMessage(withdraw{ { 1, 2 } });
  AppendFrame(fragment{ 2, 0, 1, true, known }, bytes);
  newer.Write(bytes);
  REQUIRE(agent.WaitForCount<peer_received>(1));
  const auto events = agent.Events();
  CHECK(std::get<peer_received>(events.back()).mMessage == peer_message(withdraw{ { 1, 2 } }));
  CHECK(agent.Metric("bronzering_link_unknown_messages_total") == 1);
}

// Guards against unbounded memory use, and against one stalled peer that blocks the others.
TEST_CASE("a peer that stops reading loses its session at the resend limit", "[peer][security]")
{
  auto agent = test_process(process_role::Agent, "vm-b", 2, [](auto& aSettings) {
    aSettings.mMaxResendBytes = 1024 * 1024;
  });
  auto stalled = raw_client(MakePskContext(kTestKey));
  stalled.Connect(agent.Network().Port());
  REQUIRE_FALSE(stalled.Handshake());
  auto bytes = FirstHello();
  AppendFrame(ack{ 0, false }, bytes);
  stalled.Write(bytes);
  const auto peer = agent.WaitForPeer();
  REQUIRE(peer != peer_id());
  for (auto i = std::uint64_t{ 0 }; i < 200; ++i) {
    agent.Network().Send(peer, answer_data{ { 1, 1 }, i * 10'000, std::string(10'000, 'x'), i });
  }
  REQUIRE(agent.WaitForCount<peer_down>(1));
  CheckAcceptsValidPeer(agent);
}

// Guards against unauthenticated clients that exhaust file descriptors or memory.
TEST_CASE("connections above the handshake limit are refused", "[peer][security]")
{
  auto agent = test_process(process_role::Agent, "vm-b", 2, [](auto& aSettings) {
    aSettings.mMaxHandshakes = 2;
    aSettings.mHandshakeTimeout = 10s;
  });
  const auto tls = MakePskContext(kTestKey);
  auto first = raw_client(tls);
  auto second = raw_client(tls);
  auto third = raw_client(tls);
  first.Connect(agent.Network().Port());
  second.Connect(agent.Network().Port());
  third.Connect(agent.Network().Port());
  third.ReadToEnd();
  CHECK(agent.Metric("bronzering_link_refused_connections_total") == 1);
}

TEST_CASE("a short key is refused", "[peer][security]")
{
  CHECK_THROWS(test_process(
    process_role::Agent, "vm-b", 2, [](auto& aSettings) { aSettings.mPresharedKey = "short"; }));
}
