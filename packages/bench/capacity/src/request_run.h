#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace bronzering {

/// Total processor time and encoded size of one kind of event.
struct event_cost
{
  std::size_t mCount = 0;
  double mNanoseconds = 0;
  double mBytes = 0;
};

/// Costs of a run, keyed by "entry KIND" or "agent KIND", where KIND is a received message or
/// event.
struct run_costs
{
  std::size_t mRequests = 0;
  std::size_t mCompleted = 0;
  std::map<std::string, std::size_t> mRefused;
  std::map<std::string, event_cost> mEvents;
};

/// Sends requests through one entry and 4 agents of 1,000 organisations; messages are passed
/// directly and engines answer with kDataPerRequest parts. The workload is deterministic.
inline constexpr std::size_t kDataPerRequest = 32;
[[nodiscard]] auto RunRequests(std::size_t aWaves, std::size_t aPerWave) -> run_costs;

/// Returns the name of a peer_message alternative by its variant index.
[[nodiscard]] auto MessageName(std::size_t aIndex) -> const char*;

/// Number of prefix block hashes in a ticket: a prompt of 1,024 tokens in blocks of 16.
inline constexpr std::size_t kPrefixBlocks = 64;
inline constexpr std::size_t kBodyBytes = 4096;

} // namespace bronzering
