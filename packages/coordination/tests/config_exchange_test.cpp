#include "entry_harness.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <deque>
#include <map>

using namespace bronzering;

namespace {

auto DocumentAt(std::uint64_t aRevision) -> std::string
{
  return FleetDocument("{ l: { scope: service, target: stock, unit: requests, rate: " +
                       std::to_string(aRevision) + ", burst: 10 } }");
}

auto SectionRevisions(const config_exchange& aExchange, instant aNow)
  -> std::map<std::string, std::uint64_t>
{
  auto revisions = std::map<std::string, std::uint64_t>{};
  const auto dump = aExchange.Dump(aNow);
  for (const auto& [name, value] : dump.as_object().at("sections").as_object()) {
    revisions[std::string(name)] = value.to_number<std::uint64_t>();
  }
  return revisions;
}

/// Processes that exchange their configuration over links that deliver in order and can fail.
class exchanging_processes
{
public:
  static constexpr std::size_t kCount = 4;

  auto Link(std::size_t aLeft, std::size_t aRight) -> void
  {
    if (aLeft == aRight || mUp[aLeft][aRight]) {
      return;
    }
    mUp[aLeft][aRight] = mUp[aRight][aLeft] = true;
    mNodes[aLeft].OnPeerUp({ aRight + 1 }, mNow);
    mNodes[aRight].OnPeerUp({ aLeft + 1 }, mNow);
    Collect();
  }
  auto Unlink(std::size_t aLeft, std::size_t aRight) -> void
  {
    if (!mUp[aLeft][aRight]) {
      return;
    }
    mUp[aLeft][aRight] = mUp[aRight][aLeft] = false;
    mQueues[aLeft][aRight].clear();
    mQueues[aRight][aLeft].clear();
    mNodes[aLeft].OnPeerDown({ aRight + 1 });
    mNodes[aRight].OnPeerDown({ aLeft + 1 });
  }
  auto Deliver(std::size_t aFrom, std::size_t aTo) -> bool
  {
    auto& queue = mQueues[aFrom][aTo];
    if (queue.empty()) {
      return false;
    }
    const auto message = std::move(queue.front());
    queue.pop_front();
    if (const auto* digest = std::get_if<config_digest>(&message)) {
      mNodes[aTo].OnDigest({ aFrom + 1 }, *digest, mNow);
    } else if (const auto* sections = std::get_if<config_sections>(&message)) {
      mNodes[aTo].OnSections({ aFrom + 1 }, *sections, mNow);
    }
    Collect();
    return true;
  }
  auto DeliverAll() -> void
  {
    for (auto isBusy = true; isBusy;) {
      isBusy = false;
      for (auto from = std::size_t{ 0 }; from < kCount; ++from) {
        for (auto to = std::size_t{ 0 }; to < kCount; ++to) {
          isBusy = Deliver(from, to) || isBusy;
        }
      }
    }
  }
  auto Advance(duration aTime) -> void
  {
    mNow.mMonotonic += aTime;
    mNow.mWall += aTime;
    for (auto& node : mNodes) {
      node.OnTimer(mNow);
    }
    Collect();
  }
  auto Collect() -> void
  {
    for (auto from = std::size_t{ 0 }; from < kCount; ++from) {
      for (auto& [peer, message] : mNodes[from].TakeMessages()) {
        if (mUp[from][peer.mValue - 1]) {
          mQueues[from][peer.mValue - 1].push_back(std::move(message));
        }
      }
    }
  }

  instant mNow{ time_point(std::chrono::hours(1)), {} };
  std::array<config_exchange, kCount> mNodes;
  std::array<std::array<bool, kCount>, kCount> mUp{};
  std::array<std::array<std::deque<peer_message>, kCount>, kCount> mQueues;
};

} // namespace

// Guards against a process reverting to an older configuration when the service returns stale or
// older documents while links are established and lost.
TEST_CASE("no order of delivery reverts a document or a section", "[config_exchange][property]")
{
  const auto holds = rc::check([] {
    const auto choices = *rc::gen::container<std::vector<std::uint32_t>>(
      60, rc::gen::inRange<std::uint32_t>(0, 1U << 20U));
    auto fleet = exchanging_processes{};
    auto revisions = std::array<std::uint64_t, exchanging_processes::kCount>{};
    auto sections =
      std::array<std::map<std::string, std::uint64_t>, exchanging_processes::kCount>{};
    const auto checkAll = [&] {
      for (auto node = std::size_t{ 0 }; node < exchanging_processes::kCount; ++node) {
        const auto now = fleet.mNodes[node].Revision().mValue;
        RC_ASSERT(now >= revisions[node]);
        revisions[node] = now;
        for (const auto& [name, revision] : SectionRevisions(fleet.mNodes[node], fleet.mNow)) {
          RC_ASSERT(revision >= sections[node][name]);
          sections[node][name] = revision;
        }
      }
    };

    auto highest = std::uint64_t{ 0 };
    for (const auto choice : choices) {
      const auto left = (choice >> 4) % exchanging_processes::kCount;
      const auto right = (choice >> 8) % exchanging_processes::kCount;
      switch (choice % 8) {
        case 0: {
          const auto revision = 1 + (choice >> 10) % 9;
          highest = std::max<std::uint64_t>(highest, revision);
          fleet.mNodes[left].OnDocument({ revision }, DocumentAt(revision), fleet.mNow);
          fleet.Collect();
          break;
        }
        case 1:
        case 2:
          fleet.Link(left, right);
          break;
        case 3:
          fleet.Unlink(left, right);
          break;
        case 4:
          fleet.Advance(std::chrono::milliseconds((choice >> 8) % 2000));
          break;
        default:
          fleet.Deliver(left, right);
          break;
      }
      checkAll();
    }

    // Once all processes are connected, each has the highest revision that any of them received.
    for (auto node = std::size_t{ 0 }; node < exchanging_processes::kCount; ++node) {
      fleet.Link(0, node);
    }
    for (auto round = 0; round < 5; ++round) {
      fleet.DeliverAll();
      fleet.Advance(std::chrono::seconds(2));
    }
    checkAll();
    for (const auto& node : fleet.mNodes) {
      RC_ASSERT(node.Revision().mValue == highest);
      // A section that is equal in two documents may carry the revision of either, since identical
      // text is not sent again. The section that changes must be that of the highest revision.
      RC_ASSERT(highest == 0 ||
                node.Current()->mLimits.at("l").mRatePerSecond == static_cast<double>(highest));
    }
  });
  CHECK(holds);
}

// Guards against a starting process applying a stale document of the service while a peer has a
// newer one.
TEST_CASE("a starting process asks its peers before it trusts the service", "[config_exchange]")
{
  auto fleet = exchanging_processes{};
  fleet.mNodes[1].OnPeersListed(false, fleet.mNow);
  fleet.mNodes[1].OnDocument({ 5 }, DocumentAt(5), fleet.mNow);
  REQUIRE(fleet.mNodes[1].Revision() == revision{ 5 });

  fleet.mNodes[0].OnPeersListed(true, fleet.mNow);
  fleet.mNodes[0].OnDocument({ 2 }, DocumentAt(2), fleet.mNow);
  CHECK_FALSE(fleet.mNodes[0].IsReady());
  CHECK(fleet.mNodes[0].Current() == nullptr);

  fleet.Link(0, 1);
  fleet.DeliverAll();
  CHECK(fleet.mNodes[0].IsReady());
  CHECK(fleet.mNodes[0].Revision() == revision{ 5 });
}

// Guards against unresponsive peers preventing a process from starting.
TEST_CASE("a process whose peers do not answer is ready after 3 seconds", "[config_exchange]")
{
  auto fleet = exchanging_processes{};
  fleet.mNodes[0].OnPeersListed(true, fleet.mNow);
  fleet.mNodes[0].OnDocument({ 2 }, DocumentAt(2), fleet.mNow);
  fleet.Link(0, 1);
  fleet.Advance(std::chrono::milliseconds(2999));
  CHECK_FALSE(fleet.mNodes[0].IsReady());
  fleet.Advance(std::chrono::milliseconds(1));
  CHECK(fleet.mNodes[0].IsReady());
  CHECK(fleet.mNodes[0].Revision() == revision{ 2 });
}

// Guards against a key owner relying on a configuration that the service has not confirmed
// recently.
TEST_CASE("a confirmation reaches peers and only counts for the same revision", "[config_exchange]")
{
  auto fleet = exchanging_processes{};
  for (auto& node : fleet.mNodes) {
    node.OnPeersListed(false, fleet.mNow);
  }
  fleet.mNodes[0].OnDocument({ 5 }, DocumentAt(5), fleet.mNow);
  fleet.Link(0, 1);
  fleet.DeliverAll();
  const auto first = fleet.mNodes[1].ConfirmedAt();
  REQUIRE(first == fleet.mNow.mMonotonic);

  fleet.Advance(std::chrono::seconds(29));
  fleet.mNodes[0].OnDocument({ 4 }, DocumentAt(4), fleet.mNow);
  fleet.Advance(std::chrono::seconds(2));
  fleet.DeliverAll();
  CHECK(fleet.mNodes[1].ConfirmedAt() == first);

  fleet.mNodes[0].OnDocument({ 5 }, DocumentAt(5), fleet.mNow);
  fleet.Advance(std::chrono::seconds(30));
  fleet.DeliverAll();
  CHECK(fleet.mNodes[1].ConfirmedAt() == fleet.mNow.mMonotonic - std::chrono::seconds(30));
}
