// Stand-ins of the platform for the scripts of this review: a store, workers and requesters, each
// as threads of the process that includes this header. They speak what the users' pages say.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using steady = std::chrono::steady_clock;

/// Milliseconds since the start of this process.
inline auto Now() -> std::int64_t
{
  static const auto start = steady::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - start).count();
}

/// What a process that was started later adds, so that its record has the times of the case.
inline std::int64_t gClockOffset = 0;

/// Unix time in milliseconds.
inline auto UnixMs() -> std::int64_t
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline auto SleepMs(std::int64_t aMs) -> void
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

/// Writes the record of a case, one line an event.
class record
{
public:
  explicit record(const std::string& aPath, const char* aMode = "w")
    : mFile(std::fopen(aPath.c_str(), aMode))
  {
  }
  auto Line(const char* aFormat, ...) -> void __attribute__((format(printf, 2, 3)))
  {
    auto lock = std::lock_guard(mMutex);
    std::fprintf(mFile, "%9.3f s  ", static_cast<double>(Now() + gClockOffset) / 1000);
    va_list arguments;
    va_start(arguments, aFormat);
    std::vfprintf(mFile, aFormat, arguments);
    va_end(arguments);
    std::fputc('\n', mFile);
    std::fflush(mFile);
  }

private:
  std::mutex mMutex;
  std::FILE* mFile;
};

inline auto Lower(std::string aText) -> std::string
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aByte) {
    return static_cast<char>(std::tolower(aByte));
  });
  return aText;
}

/// A message of HTTP/1.1 with its body.
struct message
{
  std::string mFirstLine;
  std::map<std::string, std::string> mFields;
  std::string mBody;
  [[nodiscard]] auto Field(const std::string& aName) const -> std::string
  {
    const auto found = mFields.find(Lower(aName));
    return found == mFields.end() ? std::string() : found->second;
  }
  /// Word aIndex of the first line.
  [[nodiscard]] auto Word(int aIndex) const -> std::string
  {
    auto rest = mFirstLine;
    for (; aIndex > 0; --aIndex) {
      const auto space = rest.find(' ');
      rest = space == std::string::npos ? std::string() : rest.substr(space + 1);
    }
    return rest.substr(0, rest.find(' '));
  }
  [[nodiscard]] auto Status() const -> int { return std::atoi(Word(1).c_str()); }
};

/// A connection with a buffered reader. Closed by the destructor.
class channel
{
public:
  explicit channel(int aSocket = -1)
    : mSocket(aSocket)
  {
    const auto on = 1;
    ::setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~channel() { Close(); }
  channel(const channel&) = delete;
  auto operator=(const channel&) -> channel& = delete;

  auto Connect(const std::string& aIp, int aPort) -> bool
  {
    Close();
    mSocket = ::socket(AF_INET, SOCK_STREAM, 0);
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    ::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
    const auto on = 1;
    ::setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      Close();
      return false;
    }
    return true;
  }
  auto Close() -> void
  {
    if (mSocket >= 0) {
      ::close(mSocket);
    }
    mSocket = -1;
    mInput.clear();
  }
  auto Reset() -> void
  {
    const auto option = linger{ 1, 0 };
    ::setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    Close();
  }
  [[nodiscard]] auto IsOpen() const -> bool { return mSocket >= 0; }
  [[nodiscard]] auto Socket() const -> int { return mSocket; }
  auto Write(const std::string& aBytes) -> bool
  {
    auto sent = std::size_t{ 0 };
    while (sent < aBytes.size()) {
      const auto count = ::send(mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }
  /// Whether the peer has closed or reset the connection.
  auto IsGone() -> bool
  {
    auto byte = char();
    const auto count = ::recv(mSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  /// Reads more bytes; false at the end or after aTimeoutMs.
  auto Fill(int aTimeoutMs) -> bool
  {
    auto asked = pollfd{ mSocket, POLLIN, 0 };
    if (::poll(&asked, 1, aTimeoutMs) <= 0) {
      mHasTimedOut = true;
      return false;
    }
    char bytes[65536];
    const auto count = ::recv(mSocket, bytes, sizeof(bytes), 0);
    mWasReset = count < 0;
    if (count <= 0) {
      return false;
    }
    mInput.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  /// Reads a head; nothing at the end of the connection.
  auto ReadHead(int aTimeoutMs) -> std::optional<message>
  {
    auto end = mInput.find("\r\n\r\n");
    while (end == std::string::npos) {
      if (!Fill(aTimeoutMs)) {
        return std::nullopt;
      }
      end = mInput.find("\r\n\r\n");
    }
    auto result = message();
    auto head = mInput.substr(0, end + 2);
    mInput.erase(0, end + 4);
    result.mFirstLine = head.substr(0, head.find("\r\n"));
    for (auto at = head.find("\r\n") + 2; at < head.size();) {
      const auto stop = head.find("\r\n", at);
      const auto line = head.substr(at, stop - at);
      const auto colon = line.find(':');
      auto value = line.substr(colon + 1);
      value.erase(0,
                  value.find_first_not_of(' ') == std::string::npos ? value.size()
                                                                    : value.find_first_not_of(' '));
      result.mFields[Lower(line.substr(0, colon))] = value;
      at = stop + 2;
    }
    return result;
  }
  auto ReadBytes(std::size_t aCount, int aTimeoutMs) -> std::optional<std::string>
  {
    while (mInput.size() < aCount) {
      if (!Fill(aTimeoutMs)) {
        return std::nullopt;
      }
    }
    auto bytes = mInput.substr(0, aCount);
    mInput.erase(0, aCount);
    return bytes;
  }
  auto ReadLine(int aTimeoutMs) -> std::optional<std::string>
  {
    auto end = mInput.find("\r\n");
    while (end == std::string::npos) {
      if (!Fill(aTimeoutMs)) {
        return std::nullopt;
      }
      end = mInput.find("\r\n");
    }
    auto line = mInput.substr(0, end);
    mInput.erase(0, end + 2);
    return line;
  }
  /// Reads a body; false if it is not complete. What was read is in aMessage in either case.
  auto ReadBody(message& aMessage, int aTimeoutMs) -> bool
  {
    if (Lower(aMessage.Field("Transfer-Encoding")) == "chunked") {
      for (;;) {
        const auto line = ReadLine(aTimeoutMs);
        if (!line) {
          return false;
        }
        const auto size = std::strtoul(line->c_str(), nullptr, 16);
        if (size == 0) {
          return ReadLine(aTimeoutMs).has_value();
        }
        const auto part = ReadBytes(size, aTimeoutMs);
        if (!part || !ReadLine(aTimeoutMs)) {
          return false;
        }
        aMessage.mBody += *part;
      }
    }
    const auto length = aMessage.Field("Content-Length");
    if (length.empty()) {
      return true;
    }
    auto bytes = ReadBytes(std::strtoul(length.c_str(), nullptr, 10), aTimeoutMs);
    if (!bytes) {
      return false;
    }
    aMessage.mBody = *bytes;
    return true;
  }
  [[nodiscard]] auto WasReset() const -> bool { return mWasReset; }
  [[nodiscard]] auto HasTimedOut() const -> bool { return mHasTimedOut; }

private:
  int mSocket;
  std::string mInput;
  bool mWasReset = false;
  bool mHasTimedOut = false;
};

/// Accepts connections and runs aServe for each one on a thread of its own.
class server
{
public:
  server(const std::string& aIp, int aPort, std::function<void(channel&)> aServe)
    : mServe(std::move(aServe))
  {
    mSocket = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto on = 1;
    ::setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    ::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
    if (::bind(mSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(mSocket, 1024) != 0) {
      std::perror("bind");
      std::_Exit(2);
    }
    auto length = socklen_t{ sizeof(address) };
    ::getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &length);
    mPort = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }
  [[nodiscard]] auto Port() const -> int { return mPort; }
  /// Stops listening and resets all connections, as when the process is killed.
  auto Kill() -> void
  {
    mIsKilled = true;
    ::shutdown(mSocket, SHUT_RDWR);
    ::close(mSocket);
    auto lock = std::lock_guard(mMutex);
    for (const auto socket : mOpen) {
      const auto option = linger{ 1, 0 };
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
      ::shutdown(socket, SHUT_RDWR);
    }
  }
  [[nodiscard]] auto IsKilled() const -> bool { return mIsKilled; }

private:
  auto Accept() -> void
  {
    for (;;) {
      const auto socket = ::accept(mSocket, nullptr, nullptr);
      if (socket < 0) {
        if (mIsKilled) {
          return;
        }
        continue;
      }
      std::thread([this, socket] {
        {
          auto lock = std::lock_guard(mMutex);
          mOpen.insert(socket);
        }
        auto connection = channel(socket);
        mServe(connection);
        auto lock = std::lock_guard(mMutex);
        mOpen.erase(socket);
        connection.Close();
      }).detach();
    }
  }

  std::function<void(channel&)> mServe;
  int mSocket = -1;
  int mPort = 0;
  std::atomic<bool> mIsKilled = false;
  std::mutex mMutex;
  std::set<int> mOpen;
};

inline auto Base64(const std::string& aBytes) -> std::string
{
  constexpr auto kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  auto text = std::string();
  for (auto at = std::size_t{ 0 }; at < aBytes.size(); at += 3) {
    auto group = 0U;
    for (auto next = at; next < at + 3; ++next) {
      group = group << 8U | (next < aBytes.size() ? static_cast<unsigned char>(aBytes[next]) : 0U);
    }
    for (auto digit = 0U; digit < 4; ++digit) {
      text += at + digit > aBytes.size() ? '=' : kDigits[group >> (18 - 6 * digit) & 63U];
    }
  }
  return text;
}

/// The platform's store: reads and watches, with one revision counter.
class store
{
public:
  store(const std::string& aIp, record& aRecord)
    : mRecord(aRecord)
    , mServer(aIp, 0, [this](channel& aChannel) { Serve(aChannel); })
  {
  }
  [[nodiscard]] auto Port() const -> int { return mServer.Port(); }
  auto Put(const std::string& aKey, const std::string& aValue) -> void
  {
    auto lock = std::lock_guard(mMutex);
    const auto created = mItems.contains(aKey) ? mItems[aKey].mCreated : mRevision + 1;
    mItems[aKey] = { aValue, ++mRevision, created };
    mEvents.push_back({ mRevision, Json(aKey, mItems[aKey]) });
    mRecord.Line("store: revision %lu, %s = %.160s",
                 static_cast<unsigned long>(mRevision),
                 aKey.c_str(),
                 aValue.c_str());
    mChanged.notify_all();
  }
  auto Remove(const std::string& aKey) -> void
  {
    auto lock = std::lock_guard(mMutex);
    mItems.erase(aKey);
    ++mRevision;
    mEvents.push_back({ mRevision,
                        "{\"key\":\"" + aKey + "\",\"revision\":" + std::to_string(mRevision) +
                          ",\"removed\":true}" });
    mRecord.Line(
      "store: revision %lu, %s removed", static_cast<unsigned long>(mRevision), aKey.c_str());
    mChanged.notify_all();
  }

private:
  struct item
  {
    std::string mValue;
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
  };
  struct event
  {
    std::uint64_t mRevision;
    std::string mJson;
  };

  static auto Json(const std::string& aKey, const item& aItem) -> std::string
  {
    return "{\"key\":\"" + aKey + "\",\"value\":\"" + Base64(aItem.mValue) +
           "\",\"revision\":" + std::to_string(aItem.mRevision) +
           ",\"created\":" + std::to_string(aItem.mCreated) + ",\"lease\":0}";
  }
  static auto Query(const std::string& aTarget, const std::string& aName) -> std::string
  {
    auto at = aTarget.find('?');
    while (at != std::string::npos) {
      const auto end = aTarget.find('&', at + 1);
      const auto pair = aTarget.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      if (pair.starts_with(aName + "=")) {
        return pair.substr(aName.size() + 1);
      }
      at = end;
    }
    return {};
  }
  auto Serve(channel& aChannel) -> void
  {
    while (const auto request = aChannel.ReadHead(60'000)) {
      const auto target = request->Word(1);
      auto status = std::string("200 OK");
      auto body = std::string();
      if (target.starts_with("/kv-range")) {
        body = Range(Query(target, "prefix"));
      } else if (target.starts_with("/kv-watch")) {
        body = Watch(std::strtoull(Query(target, "after").c_str(), nullptr, 10),
                     std::atoi(Query(target, "wait_ms").c_str()));
      } else {
        status = "404 Not Found";
        body = "{}";
      }
      if (!aChannel.Write("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" +
                          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }
  auto Range(const std::string& aPrefix) -> std::string
  {
    auto lock = std::lock_guard(mMutex);
    auto items = std::string();
    for (const auto& [key, value] : mItems) {
      if (key.starts_with(aPrefix)) {
        items += (items.empty() ? "" : ",") + Json(key, value);
      }
    }
    return "{\"items\":[" + items +
           "],\"more_pages\":false,\"store_revision\":" + std::to_string(mRevision) + "}";
  }
  auto Watch(std::uint64_t aAfter, int aWaitMs) -> std::string
  {
    auto lock = std::unique_lock(mMutex);
    mChanged.wait_for(lock, std::chrono::milliseconds(aWaitMs), [&] { return mRevision > aAfter; });
    auto events = std::string();
    for (const auto& event : mEvents) {
      if (event.mRevision > aAfter) {
        events += (events.empty() ? "" : ",") + event.mJson;
      }
    }
    return "{\"events\":[" + events + "],\"store_revision\":" + std::to_string(mRevision) + "}";
  }

  record& mRecord;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, item> mItems;
  std::vector<event> mEvents;
  std::uint64_t mRevision = 100;
  server mServer;
};

/// Writes the settings of an entry that listens at aIp. Ports are free ones of that address.
struct entry_ports
{
  int mFront;
  int mReady;
  int mInternal;
};
/// Whether nobody listens at a port of TCP or UDP.
inline auto IsFree(const std::string& aIp, int aPort) -> bool
{
  auto address = sockaddr_in{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  ::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  auto isFree = true;
  for (const auto type : { SOCK_STREAM, SOCK_DGRAM }) {
    const auto socket = ::socket(AF_INET, type, 0);
    isFree = isFree && ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(socket);
  }
  return isFree;
}
/// The first of aCount free ports in a row, below those that the kernel gives to clients.
inline auto FreePort(const std::string& aIp, int aCount = 1) -> int
{
  static auto random = std::mt19937(std::random_device()());
  for (;;) {
    const auto first = std::uniform_int_distribution(12'000, 30'000)(random);
    auto isFree = true;
    for (auto port = first; port < first + aCount; ++port) {
      isFree = isFree && IsFree(aIp, port);
    }
    if (isFree) {
      return first;
    }
  }
}
inline auto WriteSettings(const std::string& aPath,
                          const std::string& aName,
                          const std::string& aIp,
                          const entry_ports& aPorts,
                          const std::string& aSeeds,
                          const std::string& aStore) -> void
{
  const auto at = [&](int aPort) { return "\"" + aIp + ":" + std::to_string(aPort) + "\"\n"; };
  auto file = std::ofstream(aPath);
  file << "node_name: \"" << aName << "\"\nrole: \"entry\"\nmachine_class: \"front\"\n"
       << "serves:\n  - \"front\"\n  - \"control\"\nip: \"" << aIp << "\"\nzone: \"varna-a\"\n"
       << "region: \"varna\"\nzones:\n  varna-a: \"varna\"\nlisten:\n  front: " << at(aPorts.mFront)
       << "  ready_addr: " << at(aPorts.mReady) << "  control: " << at(aPorts.mInternal + 2)
       << "internal_ports:\n  - " << aPorts.mInternal << "\n  - " << aPorts.mInternal + 15
       << "\nseeds:\n"
       << aSeeds
       << "bootstrap: true\nloss_counts: false\nlimits:\n  cpu_share: 0.19\n  cores: 1\n"
          "  memory_mb: 260\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\n"
          "discovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\ncontracts:\n"
          "  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"retry\"\n  - \"platform\"\n"
          "fault_tolerance:\n  machines: 2\n  zones: 0\n  regions: 0\ncontract_bounds:\n"
          "  seed_lag_s: 3\n  addr_reuse_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  sync_s: 4\n"
          "  drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n"
          "  revert_slack_ms: 250\n  max_stretch_ms: 5000\n  strict_revoke: false\n"
          "  revoke_ms: 5000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n"
          "  budget_extra: 56\n  quota_window_s: 8\n  quota_overshoot: 0.25\n"
          "  quota_slack: 140000\n  recovery_s: 12\n  pass_ms: 120\n  reuse_window_s: 10\n"
          "platform:\n  address: \""
       << aStore
       << "\"\n  form: \"read\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n"
          "  value_bytes: 1048576\n  ttl_min_ms: 1000\n";
}

/// The processes that this one has started and not ended yet. SIGTERM and SIGINT end them too.
inline std::array<std::atomic<pid_t>, 32> gChildren;
inline auto AddChild(pid_t aPid) -> void
{
  static const auto isInstalled = [] {
    const auto end = [](int) {
      for (auto& child : gChildren) {
        if (child > 0) {
          ::kill(child, SIGKILL);
        }
      }
      ::_exit(2);
    };
    ::signal(SIGTERM, end);
    ::signal(SIGINT, end);
    return true;
  }();
  static_cast<void>(isInstalled);
  for (auto& child : gChildren) {
    auto free = pid_t{ 0 };
    if (child.compare_exchange_strong(free, aPid)) {
      return;
    }
  }
}
inline auto RemoveChild(pid_t aPid) -> void
{
  for (auto& child : gChildren) {
    auto expected = aPid;
    child.compare_exchange_strong(expected, 0);
  }
}

/// An entry of the system, started with the command of the deploy file in the current folder, which
/// has to be the root of the repository. Its log goes to a file beside its settings.
class entry
{
public:
  entry(std::string aIp, std::string aName, std::string aFolder)
    : mIp(std::move(aIp))
    , mName(std::move(aName))
    , mFolder(std::move(aFolder))
  {
  }
  ~entry() { Kill(); }
  entry(const entry&) = delete;
  auto operator=(const entry&) -> entry& = delete;

  /// All entries of a deployment have the same ports, at different addresses.
  auto Configure(const entry_ports& aPorts, const std::string& aSeeds, const std::string& aStore)
    -> void
  {
    mPorts = aPorts;
    WriteSettings(Settings(), mName, mIp, aPorts, aSeeds, aStore);
  }
  auto Start() -> void
  {
    auto actions = posix_spawn_file_actions_t();
    ::posix_spawn_file_actions_init(&actions);
    const auto log = mFolder + "/" + mName + ".log";
    ::posix_spawn_file_actions_addopen(
      &actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&actions, 1, 2);
    const auto variable = "BRONZERING_CONFIG=" + Settings();
    const auto program = std::string("target/platform/bronzering-platform-entry");
    auto argument = std::string("run");
    char* arguments[] = { const_cast<char*>(program.c_str()), argument.data(), nullptr };
    char* environment[] = { const_cast<char*>(variable.c_str()), nullptr };
    if (::posix_spawn(&mPid, program.c_str(), &actions, nullptr, arguments, environment) != 0) {
      std::perror("spawn");
      std::_Exit(2);
    }
    ::posix_spawn_file_actions_destroy(&actions);
    AddChild(mPid);
  }
  auto Signal(int aSignal) const -> void
  {
    if (mPid > 0) {
      ::kill(mPid, aSignal);
    }
  }
  auto Kill() -> void
  {
    if (mPid > 0) {
      ::kill(mPid, SIGKILL);
      ::waitpid(mPid, nullptr, 0);
      RemoveChild(mPid);
      mPid = -1;
    }
  }
  /// Status of the process as waitpid gives it; nothing while it runs.
  auto Ended() -> std::optional<int>
  {
    auto status = 0;
    if (mPid > 0 && ::waitpid(mPid, &status, WNOHANG) == mPid) {
      RemoveChild(mPid);
      mPid = -1;
      return status;
    }
    return std::nullopt;
  }
  /// Resident memory in megabytes.
  [[nodiscard]] auto MemoryMb() const -> double
  {
    auto file = std::ifstream("/proc/" + std::to_string(mPid) + "/status");
    auto line = std::string();
    while (std::getline(file, line)) {
      if (line.starts_with("VmRSS:")) {
        return std::atof(line.c_str() + 6) / 1024;
      }
    }
    return 0;
  }
  [[nodiscard]] auto IsReady() const -> bool
  {
    auto connection = channel();
    if (!connection.Connect(mIp, mPorts.mReady) ||
        !connection.Write("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")) {
      return false;
    }
    const auto answer = connection.ReadHead(1'000);
    return answer && answer->Status() == 200;
  }
  auto AwaitReady(int aTimeoutMs) const -> bool
  {
    for (auto waited = 0; waited < aTimeoutMs; waited += 50) {
      if (IsReady()) {
        return true;
      }
      SleepMs(50);
    }
    return false;
  }
  [[nodiscard]] auto Ip() const -> const std::string& { return mIp; }
  [[nodiscard]] auto Port() const -> int { return mPorts.mFront; }

private:
  [[nodiscard]] auto Settings() const -> std::string { return mFolder + "/" + mName + ".yaml"; }

  std::string mIp;
  std::string mName;
  std::string mFolder;
  entry_ports mPorts{};
  pid_t mPid = -1;
};

/// A new temporary folder for the settings and logs of entries, removed by the destructor.
class temporary_folder
{
public:
  temporary_folder()
  {
    if (::mkdtemp(mPath.data()) == nullptr) {
      std::_Exit(2);
    }
  }
  ~temporary_folder()
  {
    auto ignored = std::error_code();
    std::filesystem::remove_all(mPath, ignored);
  }
  temporary_folder(const temporary_folder&) = delete;
  auto operator=(const temporary_folder&) -> temporary_folder& = delete;
  [[nodiscard]] auto Path() const -> const std::string& { return mPath; }

private:
  std::string mPath = "/tmp/review-3-XXXXXX";
};

/// Free ports for an entry: the internal ones are a range of sixteen.
inline auto FreePorts(const std::string& aIp) -> entry_ports
{
  const auto first = FreePort(aIp, 18);
  return { first, first + 1, first + 2 };
}

} // namespace standin
