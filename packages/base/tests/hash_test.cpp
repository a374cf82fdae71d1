#include <bronzering/base.h>

#include <catch2/catch.hpp>

#include <array>
#include <string>

using namespace bronzering;

// Processes of different versions must agree on owners, so the hash values may never change.
TEST_CASE("hash values are fixed", "[hash]")
{
  CHECK(HashText("bronzering") == HashText("bronzering"));
  CHECK(HashText("") == 0x2d06800538d394c2ULL);
  CHECK(RendezvousWeight(1, "a") != RendezvousWeight(2, "a"));
}

TEST_CASE("rendezvous hashing spreads keys evenly and moves only the keys of a removed node",
          "[hash]")
{
  const auto nodes = std::array<std::string, 4>{ "a", "b", "c", "d" };
  auto counts = std::array<int, 4>{};
  const auto ownerAmong = [&](std::uint64_t aKey, std::size_t aNodeCount) {
    auto best = std::size_t{ 0 };
    for (auto node = std::size_t{ 1 }; node < aNodeCount; ++node) {
      if (RendezvousWeight(aKey, nodes[node]) > RendezvousWeight(aKey, nodes[best])) {
        best = node;
      }
    }
    return best;
  };

  for (auto key = std::uint64_t{ 0 }; key < 4000; ++key) {
    const auto owner = ownerAmong(key, 4);
    ++counts[owner];
    if (owner != 3) {
      CHECK(ownerAmong(key, 3) == owner);
    }
  }
  for (const auto count : counts) {
    CHECK(count > 850);
    CHECK(count < 1150);
  }
}

TEST_CASE("the same seed gives the same random numbers", "[random]")
{
  auto first = random_source(7);
  auto second = random_source(7);
  for (auto i = 0; i < 100; ++i) {
    CHECK(first.UniformBelow(1000) == second.UniformBelow(1000));
    CHECK(first.Exponential(3.0) == second.Exponential(3.0));
  }
}

TEST_CASE("a request id is written as 32 hexadecimal digits", "[ids]")
{
  CHECK(ToString(request_id{ 0xab, 1 }) == "00000000000000ab0000000000000001");
}

// An entry gave two callers on different traffic threads the same request id and stopped.
TEST_CASE("request ids of different exchanges never meet", "[ids]")
{
  const auto entry = incarnation{ 7 };
  const auto largest = exchange_id{ (std::uint64_t{ 1 } << kExchangeBits) - 1 };
  CHECK(ExchangeOf(MakeRequestId(entry, largest, 65'535)) == largest);
  CHECK(MakeRequestId(entry, { 1 }, 65'535) < MakeRequestId(entry, { 2 }, 0));
}
