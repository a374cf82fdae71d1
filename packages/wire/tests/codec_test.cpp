#include "random_message.h"

#include <bronzering/wire.h>

#include <catch2/catch.hpp>
#include <flatbuffers/flatbuffers.h>

#include <algorithm>

using namespace bronzering;

namespace {

/// Whether decoding succeeded; the decoded value is ignored.
template<class T>
auto IsValue(const outcome<T>& aOutcome) -> bool
{
  return static_cast<bool>(aOutcome);
}

auto RandomHello() -> hello
{
  auto result = hello();
  result.mMinor = *rc::gen::arbitrary<std::uint16_t>();
  result.mStatus = *rc::gen::element(hello_status::Accepted, hello_status::UnknownSession);
  result.mIdentity = { *rc::gen::element(process_role::Entry, process_role::Agent),
                       *rc::gen::arbitrary<std::string>(),
                       *rc::gen::arbitrary<std::string>(),
                       *rc::gen::arbitrary<std::string>(),
                       { *rc::gen::arbitrary<std::uint64_t>() } };
  result.mSession = *rc::gen::arbitrary<std::uint64_t>();
  result.mAttempt = *rc::gen::arbitrary<std::uint64_t>();
  result.mPeerIncarnation = { *rc::gen::arbitrary<std::uint64_t>() };
  result.mReceived = *rc::gen::arbitrary<std::uint64_t>();
  return result;
}

/// Feeds the bytes in chunks of aChunkBytes and returns the frames, or empty when decoding fails.
/// The contents of fragments are copied to aTexts.
auto DecodeAll(std::string_view aBytes, std::size_t aChunkBytes, std::vector<std::string>& aTexts)
  -> std::optional<std::vector<frame>>
{
  auto decoder = frame_decoder();
  auto frames = std::vector<frame>();
  for (auto at = std::size_t{ 0 }; at < aBytes.size(); at += aChunkBytes) {
    decoder.Feed(aBytes.substr(at, aChunkBytes));
    while (true) {
      auto next = decoder.Next();
      if (!next) {
        return std::nullopt;
      }
      if (!*next) {
        break;
      }
      if (auto* part = std::get_if<fragment>(&**next)) {
        aTexts.emplace_back(part->mBytes);
        part->mBytes = {};
      }
      frames.push_back(**next);
    }
  }
  return frames;
}

} // namespace

// Guards against fields that the schema, the encoder or the decoder omits.
TEST_CASE("every message is unchanged after encoding and decoding", "[wire]")
{
  for (auto kind = 0; kind < 17; ++kind) {
    CHECK(rc::check("round trip", [kind] {
      const auto message = random_message::Generate(kind);
      const auto decoded = DecodeMessage(EncodeMessage(message));
      RC_ASSERT(IsValue(decoded));
      RC_ASSERT(decoded->has_value());
      RC_ASSERT(**decoded == message);
    }));
  }
}

// Guards against reads beyond the end of a truncated, corrupted or arbitrary buffer.
TEST_CASE("malformed messages never crash the decoder", "[wire]")
{
  CHECK(rc::check("random bytes", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    static_cast<void>(IsValue(DecodeMessage(bytes)));
  }));
  CHECK(rc::check("truncated", [] {
    const auto bytes = EncodeMessage(random_message::Generate());
    const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size());
    static_cast<void>(IsValue(DecodeMessage(std::string_view(bytes).substr(0, length))));
  }));
  CHECK(rc::check("altered", [] {
    auto bytes = EncodeMessage(random_message::Generate());
    for (auto changes = *rc::gen::inRange(1, 8); changes > 0; --changes) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    }
    static_cast<void>(IsValue(DecodeMessage(bytes)));
  }));
}

// Guards against decoding that depends on how the network splits the stream.
TEST_CASE("frames are unchanged after decoding in chunks of any size", "[wire]")
{
  CHECK(rc::check("frames", [] {
    const auto text = *rc::gen::arbitrary<std::string>();
    const auto expected =
      std::vector<frame>{ RandomHello(),
                          ack{ *rc::gen::arbitrary<std::uint64_t>(), true },
                          fragment{ *rc::gen::arbitrary<std::uint64_t>(), 3, 4, false, {} },
                          goodbye() };
    auto bytes = std::string();
    for (auto item : expected) {
      if (auto* part = std::get_if<fragment>(&item)) {
        part->mBytes = text;
      }
      AppendFrame(item, bytes);
    }
    auto texts = std::vector<std::string>();
    const auto frames = DecodeAll(bytes, *rc::gen::inRange<std::size_t>(1, 100), texts);
    RC_ASSERT(frames.has_value());
    RC_ASSERT(*frames == expected);
    RC_ASSERT(texts == std::vector<std::string>{ text });
  }));
}

// Guards against reads beyond the input and against unbounded buffering for an invalid length.
TEST_CASE("malformed frames never crash the decoder and oversized ones are rejected", "[wire]")
{
  CHECK(rc::check("random bytes", [] {
    auto texts = std::vector<std::string>();
    DecodeAll(*rc::gen::arbitrary<std::string>(), 7, texts);
  }));
  CHECK(rc::check("altered", [] {
    auto bytes = std::string();
    AppendFrame(RandomHello(), bytes);
    AppendFrame(ack{ 1, false }, bytes);
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    auto texts = std::vector<std::string>();
    DecodeAll(bytes, 64, texts);
  }));

  auto texts = std::vector<std::string>();
  const auto oversized = std::string("\x01\x00\x01\x00\x01\x03\x00\x00", 8);
  CHECK_FALSE(DecodeAll(oversized, 8, texts).has_value());
}

// Guards against rejecting frames of a newer minor version: during a rolling update of the fleet,
// processes with different minor versions communicate.
TEST_CASE("unknown frames and messages of a newer minor version are ignored", "[wire]")
{
  // A frame of the unknown kind 9 with a 3-byte body, followed by a known frame.
  auto bytes = std::string("\x03\x00\x00\x00\x01\x09\x00\x00xyz", 11);
  AppendFrame(goodbye(), bytes);
  auto texts = std::vector<std::string>();
  const auto frames = DecodeAll(bytes, 4, texts);
  REQUIRE(frames.has_value());
  CHECK(*frames == std::vector<frame>{ unknown_frame(), goodbye() });

  // A message whose union member is unknown: body_type (field 0) 200 and a body table (field 1).
  auto builder = flatbuffers::FlatBufferBuilder();
  const auto body = builder.EndTable(builder.StartTable());
  const auto start = builder.StartTable();
  builder.AddOffset(6, flatbuffers::Offset<void>(body));
  builder.AddElement<std::uint8_t>(4, 200, 0);
  builder.Finish(flatbuffers::Offset<void>(builder.EndTable(start)));
  const auto decoded = DecodeMessage(
    std::string_view(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()));
  REQUIRE(IsValue(decoded));
  CHECK_FALSE(decoded->has_value());
}

// Guards against misinterpreting frames of a process with another major version.
TEST_CASE("frames of another major version are rejected", "[wire]")
{
  auto bytes = std::string();
  AppendFrame(goodbye(), bytes);
  bytes[4] = static_cast<char>(kProtocolMajor + 1);
  auto texts = std::vector<std::string>();
  CHECK_FALSE(DecodeAll(bytes, 8, texts).has_value());
}
