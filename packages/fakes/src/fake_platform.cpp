#include <bronzering/fakes/fake_platform.h>

#include <boost/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <fstream>
#include <iterator>
#include <mutex>
#include <thread>
#include <vector>

namespace bronzering {

namespace json = boost::json;

namespace {

/// Interval at which files are checked for changes.
constexpr auto kFilePollInterval = std::chrono::milliseconds(50);
constexpr std::uint64_t kMaxWaitSeconds = 60;

auto ReadFile(const std::string& aPath) -> std::string
{
  std::ifstream file(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

auto ParseControl(const std::string& aBody) -> json::object
{
  boost::system::error_code error;
  const auto value = json::parse(aBody, error);
  return !error && value.is_object() ? value.get_object() : json::object();
}

} // namespace

struct fake_configuration_service::state
{
  struct document
  {
    std::uint64_t mRevision = 0;
    std::string mText;
  };

  auto WatchFile() -> void;
  auto Handle(const fake_request& aRequest, fake_response_writer& aAnswer) -> void;
  auto Serve(const fake_request& aRequest, fake_response_writer& aAnswer) -> void;
  [[nodiscard]] auto Served() const -> const document&;

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::string mFile;
  std::uint64_t mNextRevision = 1;
  /// Documents of the modes "backwards", "normal" and "stale"; the first two are never empty.
  document mFirst;
  document mLatest;
  document mStaleDocument;
  std::string mMode = "normal";
  std::uint64_t mCalls = 0;
  bool mIsStopped = false;
  std::thread mThread;
  std::unique_ptr<fake_http_server> mServer;
};

auto fake_configuration_service::state::Served() const -> const document&
{
  return mMode == "backwards" ? mFirst : mMode == "stale" ? mStaleDocument : mLatest;
}

auto fake_configuration_service::state::WatchFile() -> void
{
  auto lock = std::unique_lock(mMutex);
  while (!mIsStopped) {
    mChanged.wait_for(lock, kFilePollInterval);
    // Ignores an empty file: an editor may truncate it before writing.
    auto text = ReadFile(mFile);
    if (!text.empty() && text != mLatest.mText && text.size() <= kMaxDocumentBytes) {
      mLatest = { mNextRevision++, std::move(text) };
      mChanged.notify_all();
    }
  }
}

auto fake_configuration_service::state::Handle(const fake_request& aRequest,
                                               fake_response_writer& aAnswer) -> void
{
  if (aRequest.mPath == "/v1/document") {
    Serve(aRequest, aAnswer);
    return;
  }
  auto lock = std::unique_lock(mMutex);
  if (aRequest.mPath == "/control") {
    const auto control = ParseControl(aRequest.mBody);
    if (const auto* mode = control.if_contains("mode"); mode != nullptr && mode->is_string()) {
      mStaleDocument = mLatest;
      mMode = std::string(mode->get_string());
      mChanged.notify_all();
    }
    lock.unlock();
    aAnswer.Send(200, "{}");
  } else if (aRequest.mPath == "/stats") {
    const auto stats = json::serialize(json::object{ { "calls", mCalls } });
    lock.unlock();
    aAnswer.Send(200, stats);
  } else {
    lock.unlock();
    aAnswer.Send(404, "{}");
  }
}

auto fake_configuration_service::state::Serve(const fake_request& aRequest,
                                              fake_response_writer& aAnswer) -> void
{
  const auto isWatch = aRequest.mQuery.contains("after");
  const auto after = aRequest.Number("after", 0);
  const auto wait = std::min(aRequest.Number("wait", 0), kMaxWaitSeconds);
  auto lock = std::unique_lock(mMutex);
  ++mCalls;
  if (isWatch) {
    mChanged.wait_for(lock, std::chrono::seconds(wait), [&] {
      return mIsStopped || mMode == "outage" || Served().mRevision > after;
    });
  }
  if (mIsStopped || mMode == "outage") {
    aAnswer.Drop();
    return;
  }
  const auto served = Served();
  lock.unlock();

  const std::vector<header_field> headers = { { "Document-Revision",
                                                std::to_string(served.mRevision) } };
  if (isWatch && served.mRevision <= after && mMode != "backwards") {
    aAnswer.Send(304, {}, "application/yaml", headers);
  } else {
    aAnswer.Send(200, served.mText, "application/yaml", headers);
  }
}

fake_configuration_service::fake_configuration_service(std::uint16_t aPort,
                                                       std::string aFile,
                                                       std::uint64_t aFirstRevision)
  : mState(std::make_unique<state>())
{
  mState->mFile = std::move(aFile);
  mState->mNextRevision = aFirstRevision + 1;
  mState->mFirst = { aFirstRevision, ReadFile(mState->mFile) };
  mState->mLatest = mState->mFirst;
  mState->mServer = std::make_unique<fake_http_server>(
    aPort, [state = mState.get()](const fake_request& aRequest, fake_response_writer& aAnswer) {
      state->Handle(aRequest, aAnswer);
    });
  mState->mThread = std::thread([state = mState.get()] { state->WatchFile(); });
}

fake_configuration_service::~fake_configuration_service()
{
  {
    const auto lock = std::lock_guard(mState->mMutex);
    mState->mIsStopped = true;
  }
  mState->mChanged.notify_all();
  mState->mThread.join();
  mState->mServer.reset();
}

auto fake_configuration_service::Port() const -> std::uint16_t
{
  return mState->mServer->Port();
}

struct fake_vm_list::state
{
  struct version
  {
    std::chrono::steady_clock::time_point mSince;
    std::string mText;
  };

  auto WatchFile() -> void;
  auto Handle(const fake_request& aRequest, fake_response_writer& aAnswer) -> void;

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::string mFile;
  duration mLag{};
  std::deque<version> mVersions;
  bool mIsOutage = false;
  bool mIsStopped = false;
  std::thread mThread;
  std::unique_ptr<fake_http_server> mServer;
};

auto fake_vm_list::state::WatchFile() -> void
{
  auto lock = std::unique_lock(mMutex);
  while (!mIsStopped) {
    mChanged.wait_for(lock, kFilePollInterval);
    const auto now = std::chrono::steady_clock::now();
    auto text = ReadFile(mFile);
    if (!text.empty() && text != mVersions.back().mText) {
      mVersions.push_back({ now, std::move(text) });
    }
    while (mVersions.size() > 1 && mVersions[1].mSince + mLag <= now) {
      mVersions.pop_front();
    }
  }
}

auto fake_vm_list::state::Handle(const fake_request& aRequest, fake_response_writer& aAnswer)
  -> void
{
  auto lock = std::unique_lock(mMutex);
  if (aRequest.mPath == "/control") {
    const auto control = ParseControl(aRequest.mBody);
    if (const auto* outage = control.if_contains("outage"); outage && outage->is_bool()) {
      mIsOutage = outage->get_bool();
    }
    lock.unlock();
    aAnswer.Send(200, "{}");
  } else if (aRequest.mPath != "/v1/vms") {
    lock.unlock();
    aAnswer.Send(404, "{}");
  } else if (mIsOutage) {
    aAnswer.Drop();
  } else {
    const auto text = mVersions.front().mText;
    lock.unlock();
    aAnswer.Send(200, text);
  }
}

fake_vm_list::fake_vm_list(std::uint16_t aPort, std::string aFile, duration aLag)
  : mState(std::make_unique<state>())
{
  mState->mFile = std::move(aFile);
  mState->mLag = aLag;
  mState->mVersions.push_back({ {}, ReadFile(mState->mFile) });
  mState->mServer = std::make_unique<fake_http_server>(
    aPort, [state = mState.get()](const fake_request& aRequest, fake_response_writer& aAnswer) {
      state->Handle(aRequest, aAnswer);
    });
  mState->mThread = std::thread([state = mState.get()] { state->WatchFile(); });
}

fake_vm_list::~fake_vm_list()
{
  {
    const auto lock = std::lock_guard(mState->mMutex);
    mState->mIsStopped = true;
  }
  mState->mChanged.notify_all();
  mState->mThread.join();
  mState->mServer.reset();
}

auto fake_vm_list::Port() const -> std::uint16_t
{
  return mState->mServer->Port();
}

} // namespace bronzering
