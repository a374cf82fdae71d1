#pragma once

#include <bronzering/base/random_source.h>
#include <bronzering/dispatch.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bronzering {

/// Several entries that exchange digests in virtual time, over links with delay, loss and cuts. The
/// same options and calls give the same run.
class digest_fleet
{
public:
  struct options
  {
    std::size_t mZones = 5;
    std::size_t mEntriesPerZone = 14;
    std::size_t mEndpoints = 20;
    std::uint64_t mSeed = 1;
    /// Share of the messages that are lost.
    double mLoss = 0;
    duration mDelayWithinZone = std::chrono::microseconds(300);
    duration mDelayBetweenZones = std::chrono::microseconds(3'500);
    /// The organisation whose usage the entries share.
    organisation_spec mOrganisation = { "shop", {}, 0, 0, 0, false, 1 };
    quota_tolerance mTolerance = {};
  };
  /// One run of an entry's process.
  struct entry_process
  {
    entry_process(const std::string& aAddress,
                  const std::string& aZone,
                  std::uint64_t aIncarnation,
                  quota_tolerance aTolerance);
    std::uint64_t mIncarnation;
    peer_table mPeers;
    endpoint_table mEndpoints;
    fleet_rate_limiter mRateLimiter;
    crash_quarantine mQuarantine;
    digest_exchange mExchange;
    digest_exchange::entry_status mStatus;
    /// When the last accepted digest of each peer was made.
    std::map<std::string, time_point> mKnownAt;
    std::size_t mSilences = 0;
    std::vector<exchange_id> mOutstanding;
  };
  struct member
  {
    std::string mAddress;
    std::size_t mZone = 0;
    /// Null while the entry is down.
    std::unique_ptr<entry_process> mProcess;
    time_point mFrozenUntil;
    /// Not reachable from other zones, and not reaching them.
    bool mIsCutFromZones = false;
  };

  explicit digest_fleet(options aOptions);

  auto RunFor(duration aTime) -> void;
  [[nodiscard]] auto Now() const -> time_point { return mNow; }
  [[nodiscard]] auto Size() const -> std::size_t { return mEntries.size(); }
  [[nodiscard]] auto At(std::size_t aEntry) -> member& { return mEntries[aEntry]; }
  [[nodiscard]] auto EndpointName(std::size_t aEndpoint) const -> std::string;

  /// An entry sends a request to an endpoint, or its oldest one ends. Precondition: it is up.
  auto BeginRequest(std::size_t aEntry, std::size_t aEndpoint) -> void;
  auto EndRequest(std::size_t aEntry) -> void;
  auto Kill(std::size_t aEntry) -> void;
  /// The entry ends after a shutdown, for which mStatus.mIsLeaving was set.
  auto End(std::size_t aEntry) -> void;
  auto Start(std::size_t aEntry) -> void;
  auto Freeze(std::size_t aEntry, duration aTime) -> void;

  /// How old the knowledge of each live entry about each live entry of another zone is, ascending.
  [[nodiscard]] auto AgesBetweenZones() const -> std::vector<duration>;
  /// Outstanding requests at an endpoint, of all entries that are up.
  [[nodiscard]] auto TrueLoad(std::size_t aEndpoint) const -> std::uint32_t;
  /// Number of pairs of an entry and an endpoint whose load the entry does not know.
  [[nodiscard]] auto WrongLoads() const -> std::size_t;

  [[nodiscard]] auto MessagesBetweenZones() const -> std::size_t { return mMessagesBetweenZones; }
  [[nodiscard]] auto EvidenceBetweenZones() const -> std::size_t { return mEvidenceBetweenZones; }

private:
  struct delivery
  {
    std::size_t mFrom = 0;
    std::size_t mTo = 0;
    digest_message mMessage;
  };

  /// Sends the messages that are due. Precondition: the entry is up.
  auto SendDigests(std::size_t aEntry) -> void;
  auto Tick(std::size_t aEntry, std::uint64_t aRun) -> void;
  auto Deliver(const delivery& aDelivery) -> void;
  auto Send(std::size_t aFrom,
            const std::vector<std::string>& aTargets,
            const digest_message& aMessage) -> void;
  auto At(time_point aTime, std::function<void()> aAction) -> void;
  auto TakeChanges(entry_process& aProcess) -> void;

  options mOptions;
  random_source mRandom;
  time_point mNow = time_point(std::chrono::hours(1));
  std::multimap<time_point, std::function<void()>> mEvents;
  std::vector<member> mEntries;
  std::map<std::string, std::size_t> mIndexes;
  /// When each digest was made, by sender, incarnation and sequence.
  std::map<std::string, std::map<std::uint64_t, time_point>> mMade;
  std::uint64_t mRuns = 0;
  std::uint64_t mExchanges = 0;
  std::size_t mMessagesBetweenZones = 0;
  std::size_t mEvidenceBetweenZones = 0;
};

} // namespace bronzering
