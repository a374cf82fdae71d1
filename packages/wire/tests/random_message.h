#pragma once

#include <bronzering/coordination/messages.h>

#include <rapidcheck.h>

#include <cstdlib>

namespace bronzering {

/// Sets RapidCheck's seed before its first use, so that every run checks the same cases.
inline const auto kSeedIsSet = ::setenv("RC_PARAMS", "seed=20261204", 1);

/// Generates random messages with RapidCheck. To be used only within a property.
class random_message
{
public:
  [[nodiscard]] static auto Generate() -> peer_message
  {
    return Generate(*rc::gen::inRange(0, 17));
  }

  [[nodiscard]] static auto Generate(int aKind) -> peer_message
  {
    switch (aKind) {
      case 0:
        return Ticket();
      case 1:
        return withdraw{ Request() };
      case 2:
        return dispatch{ { Number() }, Ticket(), Text(), Text(), Headers(), Text() };
      case 3:
        return cancel{ Request() };
      case 4:
        return window{ Request(), Number() };
      case 5:
        return grant{ Request(), { Number() }, Duration(), Number() };
      case 6:
        return credit{ Text(), Ids<grant_id>(), Duration() };
      case 7:
        return decline{
          Request(), static_cast<decline_reason>(*rc::gen::inRange(0, 12)), Duration(), Number32()
        };
      case 8:
        return answer_head{ Request(), Number32(), Headers() };
      case 9:
        return answer_data{ Request(), Number(), Text(), Number() };
      case 10:
        return answer_end{ Request(), static_cast<answer_outcome>(*rc::gen::inRange(0, 3)),
                           Number(),  Number(),
                           Number(),  Number() };
      case 11:
        return agent_status{ static_cast<agent_state>(*rc::gen::inRange(0, 4)),
                             *rc::gen::arbitrary<std::vector<std::uint64_t>>(),
                             Number32(),
                             Number32(),
                             Number(),
                             *rc::gen::arbitrary<double>(),
                             Duration() };
      case 12:
        return lease_request{ Text(), *rc::gen::arbitrary<double>() };
      case 13:
        return lease_grant{ Text(), *rc::gen::arbitrary<double>(), Duration() };
      case 14:
        return lease_return{ Text(), *rc::gen::arbitrary<double>() };
      case 15:
        return config_digest{ { Number() }, { { Text(), { Number() }, Number() } }, Duration() };
      default:
        return config_sections{
          { Number() }, { { Text(), { Number() }, Text() } }, { Text(), Text() }, Duration()
        };
    }
  }

private:
  static auto Text() -> std::string { return *rc::gen::arbitrary<std::string>(); }
  static auto Number() -> std::uint64_t { return *rc::gen::arbitrary<std::uint64_t>(); }
  static auto Number32() -> std::uint32_t { return *rc::gen::arbitrary<std::uint32_t>(); }
  static auto Duration() -> duration { return duration(*rc::gen::arbitrary<std::int32_t>()); }
  static auto Request() -> request_id { return { Number(), Number() }; }
  static auto Headers() -> std::vector<header_field>
  {
    return { { Text(), Text() }, { Text(), Text() } };
  }
  template<class Id>
  static auto Ids() -> std::vector<Id>
  {
    auto ids = std::vector<Id>();
    for (const auto number : *rc::gen::arbitrary<std::vector<std::uint64_t>>()) {
      ids.push_back(Id{ number });
    }
    return ids;
  }
  static auto Ticket() -> ticket
  {
    auto result = ticket();
    result.mRequest = Request();
    result.mService = Text();
    result.mOrganisation = Text();
    result.mTier = Text();
    result.mPromptTokens = Number();
    result.mOutputTokens = Number();
    result.mPrefix = Ids<prefix_hash>();
    result.mTimeLeft = Duration();
    if (*rc::gen::arbitrary<bool>()) {
      result.mKey = key_digest{ Number() };
      result.mKeyCreated = wall_time(Duration());
    }
    return result;
  }
};

} // namespace bronzering
