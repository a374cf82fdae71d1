#include "fleet_process.h"

#include <bronzering/base/hash.h>
#include <bronzering/base/overloaded.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace bronzering::testkit {

namespace {

using namespace std::chrono_literals;

constexpr auto kVmListInterval = 1s;
constexpr auto kLoadInterval = 250ms;

} // namespace

fleet::fleet(fleet_settings aSettings)
  : mSettings(std::move(aSettings))
  , mRandom(mSettings.mSeed)
{
  auto store = config_store{};
  [[maybe_unused]] const auto problems = store.ApplyDocument(revision{ 1 }, mSettings.mDocument);
  assert(problems.empty());
  mConfig = store.Current();
  mDocuments.emplace_back(revision{ 1 }, mSettings.mDocument);
  Record(document_published{ revision{ 1 } });

  const auto add = [this](std::string aName, process_identity aIdentity) {
    auto added = std::make_unique<process>();
    added->mName = std::move(aName);
    added->mAddress = added->mName;
    added->mIdentity = std::move(aIdentity);
    return mProcesses.emplace(added->mName, std::move(added)).first->second.get();
  };
  for (auto index = std::size_t{ 0 }; index < mSettings.mEntryZones.size(); ++index) {
    const auto name = "entry-" + std::to_string(index);
    add(name, { process_role::Entry, "vm-" + name, mSettings.mEntryZones[index], "", {} });
  }
  for (const auto& [name, config] : mConfig->mEndpoints) {
    const auto zone = mSettings.mEndpointZones.at(name);
    auto* added = add("agent " + name, { process_role::Agent, "vm-" + name, zone, name, {} });
    added->mEngine =
      std::make_shared<fake_engine>(mLoop, config, [this, added](engine_event aEvent) {
        OnEngineEvent(*added, std::move(aEvent));
      });
  }
  for (auto& [name, started] : mProcesses) {
    StartProcess(*started);
  }
  PublishVmList();
  ReportLoads();
  CheckSessions();
}

fleet::~fleet() = default;

auto fleet::Record(history_event aEvent) -> void
{
  mHistory.push_back({ mLoop.Now(), std::move(aEvent) });
}

auto fleet::FindProcess(const std::string& aName) -> process&
{
  return *mProcesses.at(aName);
}

auto fleet::ProcessNames() const -> std::vector<std::string>
{
  auto names = std::vector<std::string>{};
  for (const auto& [name, unused] : mProcesses) {
    names.push_back(name);
  }
  return names;
}

auto fleet::Entry(std::size_t aIndex) -> entry_node*
{
  return FindProcess("entry-" + std::to_string(aIndex)).mEntry.get();
}

auto fleet::Agent(const std::string& aEndpoint) -> agent_node*
{
  return FindProcess("agent " + aEndpoint).mAgent.get();
}

auto fleet::Engine(const std::string& aEndpoint) -> fake_engine&
{
  return *FindProcess("agent " + aEndpoint).mEngine;
}

auto fleet::StartProcess(process& aProcess) -> void
{
  const auto now = mLoop.Instant();
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(now.mWall.time_since_epoch()).count();
  aProcess.mIdentity.mIncarnation = incarnation{ (static_cast<std::uint64_t>(milliseconds) << 20) +
                                                 mRandom.UniformBelow(1U << 20) };
  aProcess.mLeaving = false;
  aProcess.mWatching = false;
  aProcess.mPausedUntil = {};
  aProcess.mTimerAt.reset();
  aProcess.mRecordedSections.clear();
  Record(process_started{ aProcess.mName });

  if (aProcess.mIdentity.mRole == process_role::Entry) {
    auto settings = entry_settings{};
    settings.mIdentity = aProcess.mIdentity;
    settings.mSeed = mRandom.Bits();
    aProcess.mEntry = std::make_unique<entry_node>(settings, mMetrics);
  } else {
    auto settings = agent_settings{};
    settings.mIdentity = aProcess.mIdentity;
    settings.mSeed = mRandom.Bits();
    aProcess.mAgent = std::make_unique<agent_node>(settings, mMetrics);
    aProcess.mAgent->OnEngineEvent(engine_health{ true }, now);
  }
  Flush(aProcess);
  ScheduleTimer(aProcess);
}

auto fleet::Deliver(process& aProcess, std::function<void(process&)> aEvent) -> void
{
  if (!aProcess.IsAlive()) {
    return;
  }
  // A paused process handles its events in order of arrival when it resumes.
  if (aProcess.mPausedUntil > mLoop.Now() || !aProcess.mDeferredEvents.empty()) {
    aProcess.mDeferredEvents.push_back(std::move(aEvent));
    if (aProcess.mDeferredEvents.size() == 1) {
      ScheduleResume(aProcess);
    }
    return;
  }
  Handle(aProcess, aEvent);
}

auto fleet::Handle(process& aProcess, const std::function<void(process&)>& aEvent) -> void
{
  aEvent(aProcess);
  Flush(aProcess);
  ScheduleTimer(aProcess);
}

auto fleet::ScheduleResume(process& aProcess) -> void
{
  mLoop.At(aProcess.mPausedUntil, [this, &aProcess, id = aProcess.mIdentity.mIncarnation] {
    if (!aProcess.IsAlive() || aProcess.mIdentity.mIncarnation != id) {
      return;
    }
    if (aProcess.mPausedUntil > mLoop.Now()) {
      ScheduleResume(aProcess);
      return;
    }
    // The current event stays in the queue while it is handled, so that Deliver appends the events
    // that it causes behind those already waiting.
    while (aProcess.mIdentity.mIncarnation == id && !aProcess.mDeferredEvents.empty()) {
      const auto event = std::move(aProcess.mDeferredEvents.front());
      Handle(aProcess, event);
      if (aProcess.mIdentity.mIncarnation == id && !aProcess.mDeferredEvents.empty()) {
        aProcess.mDeferredEvents.pop_front();
      }
    }
  });
}

auto fleet::Flush(process& aProcess) -> void
{
  // Performing an action may cause further actions, for example when an engine answers at once.
  while (aProcess.IsAlive()) {
    if (aProcess.mEntry) {
      auto actions = aProcess.mEntry->TakeActions();
      if (actions.empty()) {
        break;
      }
      for (auto& action : actions) {
        Perform(aProcess, std::move(action));
      }
    } else {
      auto actions = aProcess.mAgent->TakeActions();
      if (actions.empty()) {
        break;
      }
      for (auto& action : actions) {
        Perform(aProcess, std::move(action));
      }
    }
  }
  if (aProcess.IsAlive()) {
    RecordSections(aProcess);
  }
  const auto drained = (aProcess.mEntry && aProcess.mEntry->IsDrained()) ||
                       (aProcess.mAgent && aProcess.mAgent->IsDrained());
  if (drained || (aProcess.mLeaving && mSettings.mInjectedBug == injected_bug::StopAtOnce)) {
    StopOnceFlushed(aProcess);
  }
}

auto fleet::StopOnceFlushed(process& aProcess) -> void
{
  // A drained process stays alive until its sessions have delivered all messages.
  const auto busy = std::ranges::any_of(aProcess.mPeers, [&](const auto& aPeer) {
    const auto& current = *aPeer.second;
    return current.AreBothEndsAlive() &&
           (!current.mHeld.empty() || current.mLastForward >= mLoop.Now() ||
            current.mLastBackward >= mLoop.Now() ||
            aPeer.second->mFrom->mPausedUntil > mLoop.Now() ||
            aPeer.second->mTo->mPausedUntil > mLoop.Now());
  });
  if (busy && mSettings.mInjectedBug != injected_bug::StopAtOnce) {
    mLoop.After(50ms, [this, &aProcess, id = aProcess.mIdentity.mIncarnation] {
      if (aProcess.IsAlive() && aProcess.mIdentity.mIncarnation == id) {
        Flush(aProcess);
      }
    });
    return;
  }
  if (aProcess.mAgent) {
    Record(endpoint_stopped{ aProcess.mIdentity.mEndpoint });
  }
  Kill(aProcess.mName);
}

auto fleet::ScheduleTimer(process& aProcess) -> void
{
  if (!aProcess.IsAlive()) {
    return;
  }
  const auto next = aProcess.mEntry ? aProcess.mEntry->NextTimer() : aProcess.mAgent->NextTimer();
  if (!next || (aProcess.mTimerAt && *aProcess.mTimerAt <= *next)) {
    return;
  }
  aProcess.mTimerAt = *next;
  mLoop.At(*next, [this, &aProcess, id = aProcess.mIdentity.mIncarnation, at = *next] {
    if (!aProcess.IsAlive() || aProcess.mIdentity.mIncarnation != id || aProcess.mTimerAt != at) {
      return;
    }
    aProcess.mTimerAt.reset();
    Deliver(aProcess, [this](process& aTarget) {
      aTarget.mEntry ? aTarget.mEntry->OnTimer(mLoop.Instant())
                     : aTarget.mAgent->OnTimer(mLoop.Instant());
    });
  });
}

auto fleet::Submit(std::size_t aEntry, job aJob) -> exchange_id
{
  aJob.mExchange = exchange_id{ mNextExchange++ };
  const auto exchange = aJob.mExchange;
  auto& target = FindProcess("entry-" + std::to_string(aEntry));
  Record(request_sent{ aJob, target.mName });
  mJobs[exchange] = aJob;
  mOpenExchanges[exchange] = target.mName;
  if (!target.IsAlive()) {
    Record(answer_broken{ exchange });
    EndExchange(exchange);
    return exchange;
  }

  auto request = caller_request{};
  request.mExchange = exchange;
  request.mTokenDigest = aJob.mTokenDigest;
  request.mModel = aJob.mIsModel ? mConfig->mServices.at(aJob.mService).mModel : "";
  request.mMethod = "POST";
  request.mTarget =
    aJob.mIsModel ? "/v1/completions" : mConfig->mServices.at(aJob.mService).mPathPrefix + "/item";
  request.mBody = BodyOf(aJob);
  request.mPromptTokens = aJob.mPromptTokens;
  request.mOutputTokens = aJob.mMaxTokens;
  request.mPrefix = aJob.mPrefix;
  request.mTimeout = aJob.mTimeout;
  request.mIdempotencyKey = aJob.mIdempotencyKey;
  mLoop.After(mSettings.mCallerDelay, [this, &target, request = std::move(request)] {
    Deliver(target, [this, request](process& aTarget) {
      if (mOpenExchanges.contains(request.mExchange)) {
        aTarget.mEntry->OnRequest(request, mLoop.Instant());
      }
    });
  });
  return exchange;
}

auto fleet::DisconnectCaller(exchange_id aExchange) -> void
{
  const auto found = mOpenExchanges.find(aExchange);
  if (found == mOpenExchanges.end()) {
    return;
  }
  auto& target = FindProcess(found->second);
  Record(answer_broken{ aExchange });
  EndExchange(aExchange);
  Deliver(target, [this, aExchange](process& aTarget) {
    aTarget.mEntry->OnCallerDisconnected(aExchange, mLoop.Instant());
  });
}

auto fleet::OpenModelExchanges() const -> std::size_t
{
  auto count = std::size_t{ 0 };
  for (const auto& [exchange, entry] : mOpenExchanges) {
    count += mJobs.at(exchange).mIsModel ? 1 : 0;
  }
  return count;
}

auto fleet::EndExchange(exchange_id aExchange) -> void
{
  mOpenExchanges.erase(aExchange);
}

auto fleet::SubmitToEngine(process& aProcess, const submit_to_engine& aSubmit) -> void
{
  const auto exchange = ExchangeOf(aSubmit.mBody);
  assert(exchange);
  const auto& endpoint = aProcess.mIdentity.mEndpoint;
  if (!mGranted.contains({ *exchange, endpoint })) {
    RecordGrant(*exchange, endpoint);
  }
  Record(execution_started{ *exchange, aSubmit.mRequest, endpoint });
  aProcess.mEngine->Submit(aSubmit.mRequest, mJobs.at(*exchange));
  if (mSettings.mInjectedBug == injected_bug::DispatchTwice && exchange->mValue % 50 == 0) {
    Record(execution_started{ *exchange, aSubmit.mRequest, endpoint });
  }
}

auto fleet::OnEngineEvent(process& aProcess, engine_event aEvent) -> void
{
  // Engines send events over a connection, so the agent receives them after a delay.
  mLoop.After(mSettings.mLocalDelay,
              [this, &aProcess, id = aProcess.mIdentity.mIncarnation, event = std::move(aEvent)] {
                if (aProcess.mIdentity.mIncarnation == id) {
                  Deliver(aProcess, [this, event](process& aTarget) {
                    aTarget.mAgent->OnEngineEvent(event, mLoop.Instant());
                  });
                }
              });
}

auto fleet::Perform(process& aProcess, entry_action aAction) -> void
{
  const auto open = [this](exchange_id aExchange) { return mOpenExchanges.contains(aExchange); };
  std::visit(
    overloaded{
      [&](send_message& aSend) { SendMessage(aProcess, aSend.mPeer, std::move(aSend.mMessage)); },
      [&](connect_peer& aOpen) { OpenSession(aProcess, aOpen.mAddress); },
      [&](disconnect_peer& aClose) {
        const auto found = aProcess.mOpened.find(aClose.mAddress);
        if (found != aProcess.mOpened.end()) {
          CloseSession(found->second);
        }
      },
      [&](watch_configuration& aWatch) {
        aProcess.mWatching = aWatch.mEnabled;
        SendDocument(aProcess);
      },
      [&](start_answer&) {},
      [&](continue_answer& aAnswer) {
        auto target = aAnswer.mExchange;
        if (mSettings.mInjectedBug == injected_bug::CrossAnswers && open({ target.mValue + 1 })) {
          target.mValue += 1;
        }
        if (!open(target)) {
          return;
        }
        Record(answer_received{ target, aAnswer.mBytes });
        const auto bytes = aAnswer.mBytes.size();
        mLoop.After(mSettings.mCallerDelay, [this, &aProcess, target, bytes] {
          Deliver(aProcess, [this, target, bytes](process& aTarget) {
            aTarget.mEntry->OnAnswerBytesDelivered(target, bytes, mLoop.Instant());
          });
        });
      },
      [&](finish_answer& aAnswer) {
        if (open(aAnswer.mExchange)) {
          Record(answer_finished{ aAnswer.mExchange });
          EndExchange(aAnswer.mExchange);
        }
      },
      [&](abort_answer& aAnswer) {
        if (!open(aAnswer.mExchange)) {
          return;
        }
        if (mSettings.mInjectedBug == injected_bug::TruncateAnswers) {
          Record(answer_finished{ aAnswer.mExchange });
        } else {
          Record(answer_broken{ aAnswer.mExchange });
        }
        EndExchange(aAnswer.mExchange);
      },
      [&](refuse_request& aRefuse) {
        if (!open(aRefuse.mExchange)) {
          return;
        }
        const auto state = mSettings.mInjectedBug == injected_bug::ClaimNotRun ? run_state::NotRun
                                                                               : aRefuse.mRunState;
        Record(request_refused{ aRefuse.mExchange, aRefuse.mReason, state });
        EndExchange(aRefuse.mExchange);
      },
    },
    aAction);
}

auto fleet::Perform(process& aProcess, agent_action aAction) -> void
{
  std::visit(
    overloaded{
      [&](send_message& aSend) { SendMessage(aProcess, aSend.mPeer, std::move(aSend.mMessage)); },
      [&](submit_to_engine& aSubmit) { SubmitToEngine(aProcess, aSubmit); },
      [&](resume_engine_stream& aResume) {
        aProcess.mEngine->Resume(aResume.mRequest, aResume.mOffset);
      },
      [&](cancel_on_engine& aCancel) { aProcess.mEngine->Cancel(aCancel.mRequest); },
      [&](pause_engine_stream&) {},
      [&](send_engine_command& aCommand) {
        OnEngineEvent(aProcess, engine_command_result{ aCommand.mFencingToken, true, "" });
      },
      [&](watch_configuration& aWatch) {
        aProcess.mWatching = aWatch.mEnabled;
        SendDocument(aProcess);
      },
    },
    aAction);
}

auto fleet::RecordSections(process& aProcess) -> void
{
  const auto config =
    aProcess.mEntry ? aProcess.mEntry->Configuration() : aProcess.mAgent->Configuration();
  if (!config) {
    return;
  }
  // Nodes expose only the revision of the whole configuration, not those of its sections.
  auto& seen = aProcess.mRecordedSections["all"];
  auto current = config->mRevision;
  if (mSettings.mInjectedBug == injected_bug::RevertRevision && seen > revision{ 1 }) {
    current = revision{ 1 };
  }
  if (seen != current) {
    seen = current;
    Record(section_in_force{ aProcess.mName, "all", current });
  }
}

auto fleet::PublishVmList() -> void
{
  auto list = std::vector<vm_entry>{};
  for (const auto& [name, listed] : mProcesses) {
    if (listed->IsAlive()) {
      list.push_back({ listed->mIdentity.mVm,
                       listed->mIdentity.mRole,
                       listed->mIdentity.mAvailabilityZone,
                       listed->mIdentity.mEndpoint,
                       listed->mAddress,
                       listed->mLeaving && mSettings.mInjectedBug != injected_bug::IgnoreLeaving
                         ? vm_state::Leaving
                         : vm_state::Live });
    }
  }
  const auto lag = mLoop.Now() == time_point(1000s) ? duration{} : mSettings.mVmListLag;
  mLoop.After(lag, [this, list = std::move(list)] {
    for (auto& [name, target] : mProcesses) {
      Deliver(*target, [this, list](process& aTarget) {
        aTarget.mEntry ? aTarget.mEntry->OnVmList(list, mLoop.Instant())
                       : aTarget.mAgent->OnVmList(list, mLoop.Instant());
      });
    }
  });
  mLoop.After(kVmListInterval, [this] { PublishVmList(); });
}

auto fleet::ReportLoads() -> void
{
  for (auto& [name, target] : mProcesses) {
    if (!target->mEngine || !target->IsAlive()) {
      continue;
    }
    mLoop.After(mSettings.mLoadLag, [this, &target = *target, load = target->mEngine->Load()] {
      Deliver(target, [this, load](process& aTarget) {
        aTarget.mAgent->OnEngineEvent(load, mLoop.Instant());
      });
    });
  }
  mLoop.After(kLoadInterval, [this] { ReportLoads(); });
}

auto fleet::Publish(const std::string& aDocument) -> revision
{
  const auto next = revision{ mDocuments.back().first.mValue + 1 };
  mDocuments.emplace_back(next, aDocument);
  mServeStale = false;
  Record(document_published{ next });
  for (auto& [name, target] : mProcesses) {
    SendDocument(*target);
  }
  return next;
}

auto fleet::ServeStaleDocument() -> void
{
  mServeStale = true;
  for (auto& [name, target] : mProcesses) {
    SendDocument(*target);
  }
}

auto fleet::SendDocument(process& aProcess) -> void
{
  if (!aProcess.mWatching || mConfigurationDown) {
    return;
  }
  const auto& [number, text] = mServeStale ? mDocuments.front() : mDocuments.back();
  mLoop.After(5ms, [this, &aProcess, number = number, text = text] {
    Deliver(aProcess, [this, number, text](process& aTarget) {
      aTarget.mEntry ? aTarget.mEntry->OnDocument(number, text, mLoop.Instant())
                     : aTarget.mAgent->OnDocument(number, text, mLoop.Instant());
    });
  });
}

} // namespace bronzering::testkit
