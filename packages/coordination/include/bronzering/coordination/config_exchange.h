#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/config/config_store.h>
#include <bronzering/coordination/messages.h>

#include <boost/json/fwd.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bronzering {

/// Synchronizes the configuration of one process with its peers, so that it converges to the
/// highest revision known to the process or any of its peers. Entry and agent nodes each own one
/// and forward peer, document and timer events to it. After each event the node sends the messages
/// returned by TakeMessages() and applies Current() if TakeChanged() returns true.
///
/// A digest without sections announces a revision. A process with an older revision replies with
/// its full digest and receives the sections that it is missing. The full digest of a process
/// without any sections carries revision zero. Not thread-safe: owned by the control thread.
class config_exchange
{
public:
  // The startup timeout for peers starts at the first event.
  auto OnPeerUp(peer_id aPeer, instant aNow) -> void;
  auto OnPeerDown(peer_id aPeer) -> void;
  auto OnDigest(peer_id aPeer, const config_digest& aDigest, instant aNow) -> void;
  auto OnSections(peer_id aPeer, const config_sections& aSections, instant aNow) -> void;
  /// A document from the configuration service. Its application is deferred until IsReady().
  auto OnDocument(revision aRevision, std::string_view aDocument, instant aNow) -> void;
  /// aAnyListed: whether the VM list contains any process other than this one.
  auto OnPeersListed(bool aAnyListed, instant aNow) -> void;
  auto OnTimer(instant aNow) -> void;
  [[nodiscard]] auto NextTimer() const -> std::optional<time_point>;

  [[nodiscard]] auto TakeMessages() -> std::vector<std::pair<peer_id, peer_message>>;
  /// Whether Current() changed since the last call.
  [[nodiscard]] auto TakeChanged() -> bool;
  [[nodiscard]] auto Current() const -> std::shared_ptr<const fleet_config>;
  [[nodiscard]] auto Revision() const -> revision { return mStore.Revision(); }
  /// Whether startup synchronization is complete: a peer has replied, there are no peers, or the
  /// startup timeout has expired.
  [[nodiscard]] auto IsReady() const -> bool { return mReady; }
  /// When the configuration service last confirmed, directly or through peers, that the active
  /// revision is the latest; empty if never.
  [[nodiscard]] auto ConfirmedAt() const -> std::optional<time_point> { return mConfirmedAt; }
  /// Diagnostic snapshot: active revision and its activation time, sections, and rejected sections
  /// with the reasons.
  [[nodiscard]] auto Dump(instant aNow) const -> boost::json::value;

private:
  struct known_peer
  {
    /// Highest revision announced by the peer; zero if unknown.
    revision mAnnouncedRevision;
    /// Announced revision for which sections were last requested from the peer.
    revision mRequestedRevision;
  };

  auto FullDigest(instant aNow) const -> config_digest;
  auto Announcement(instant aNow) const -> config_digest;
  auto ConfirmedAgo(instant aNow) const -> duration;
  auto RecordConfirmation(revision aRevision, duration aAgo, instant aNow) -> void;
  auto RequestNewerSections(instant aNow) -> void;
  auto RecordStart(instant aNow) -> void;
  auto BecomeReady(instant aNow) -> void;
  auto ApplyDocument(revision aRevision, std::string_view aDocument, instant aNow) -> void;
  auto AnnounceChange(revision aBefore, std::optional<peer_id> aSource, instant aNow) -> void;
  auto Send(peer_id aPeer, peer_message aMessage) -> void;

  config_store mStore;
  std::map<peer_id, known_peer> mPeers;
  std::vector<std::pair<peer_id, peer_message>> mMessages;
  std::optional<std::pair<revision, std::string>> mDeferredDocument;
  std::optional<time_point> mConfirmedAt;
  std::optional<wall_time> mActiveSince;
  std::optional<time_point> mReplyDeadline;
  std::optional<time_point> mStarted;
  std::optional<time_point> mNextAnnouncement;
  bool mReady = false;
  bool mChanged = false;
};

} // namespace bronzering
