#include "section_content.h"

#include "document_splitter.h"
#include "value_reader.h"

#include <algorithm>

namespace bronzering {

namespace {

using namespace std::chrono_literals;

// Bounds of the settings. They are far outside useful values and catch typing errors and values
// that would overflow later arithmetic.
constexpr auto kMaxRank = std::uint64_t{ 63 };
constexpr auto kMinTarget = duration(1ms);
constexpr auto kMaxTarget = duration(1h);
constexpr auto kMaxTimeout = duration(24h);
constexpr auto kMaxIdempotencyWindow = duration(168h);
constexpr auto kMinWeight = 0.001;
constexpr auto kMaxWeight = 1e6;
constexpr auto kMaxRate = 1e15;
constexpr auto kMinRate = 1e-6;
constexpr auto kMaxGeneration = std::uint64_t{ 100 };
constexpr auto kMaxConcurrency = std::uint64_t{ 100'000 };
constexpr auto kMaxKvTokens = std::uint64_t{ 1'000'000'000'000 };
constexpr auto kMaxWeightBytes = std::uint64_t{ 1'000'000'000'000'000 };
// A higher ratio of retries to requests would amplify an overload.
constexpr auto kMaxRetryRatio = 0.1;
constexpr auto kDigestLength = std::size_t{ 64 };

template<class Value, class Target>
auto Assign(std::optional<Value> aValue, Target& aTarget) -> void
{
  if (aValue) {
    aTarget = static_cast<Target>(*std::move(aValue));
  }
}

auto PositionOf(const yaml_node& aNode) -> text_position
{
  return { aNode.mLine, aNode.mColumn };
}

auto ParseTier(value_reader& aReader, tier_config& aTier) -> void
{
  Assign(aReader.Integer("rank", presence::Required, 0, kMaxRank), aTier.mRank);
  Assign(aReader.Duration("first_token", presence::Required, kMinTarget, kMaxTarget),
         aTier.mFirstTokenTarget);
  Assign(aReader.Duration("inter_token", presence::Required, kMinTarget, kMaxTarget),
         aTier.mInterTokenTarget);
  Assign(aReader.Duration("timeout", presence::Required, kMinTarget, kMaxTimeout),
         aTier.mDefaultTimeout);
  if (aTier.mDefaultTimeout > duration::zero() && aTier.mFirstTokenTarget > aTier.mDefaultTimeout) {
    aReader.ReportAt("timeout",
                     FormatDuration(aTier.mDefaultTimeout),
                     "at least first_token, " + FormatDuration(aTier.mFirstTokenTarget));
  }
}

auto IsPathPrefix(std::string_view aPath) -> bool
{
  const auto isPathCharacter = [](char aCharacter) {
    return aCharacter > ' ' && aCharacter < 0x7f && aCharacter != '?' && aCharacter != '#' &&
           aCharacter != '%';
  };
  return aPath.size() > 1 && aPath.front() == '/' && aPath.back() != '/' &&
         std::all_of(aPath.begin(), aPath.end(), isPathCharacter) &&
         aPath.find("//") == std::string_view::npos && aPath.find("/.") == std::string_view::npos;
}

auto ParsePath(value_reader& aReader, service_config& aService) -> void
{
  Assign(aReader.Text("path", presence::Required), aService.mPathPrefix);
  const auto& path = aService.mPathPrefix;
  if (!path.empty() && !IsPathPrefix(path)) {
    aReader.ReportAt(
      "path", Describe(path), "a path prefix such as /stock, without a slash at the end");
  }
  // Model requests arrive under this prefix.
  if (path == "/v1" || path.starts_with("/v1/")) {
    aReader.ReportAt("path", Describe(path), "a prefix other than /v1, which is for models");
  }
}

auto ParseService(value_reader& aReader, service_config& aService) -> void
{
  const auto kind = aReader.Choice("kind", presence::Required, kServiceKindNames);
  Assign(kind, aService.mKind);
  if (kind == service_kind::Model) {
    Assign(aReader.Text("model", presence::Required), aService.mModel);
    aReader.Forbid("path", "no path, since model services are selected by model");
  } else if (kind == service_kind::Plain) {
    ParsePath(aReader, aService);
    aReader.Forbid("model", "no model, since plain services are selected by path");
  } else {
    static_cast<void>(aReader.Find("model"));
    static_cast<void>(aReader.Find("path"));
  }

  Assign(aReader.Boolean("idempotent"), aService.mIdempotent);
  if (kind == service_kind::Model && !aService.mIdempotent) {
    aReader.ReportAt("idempotent", "false", "true, as for all model services");
  }
  Assign(aReader.Duration("idempotency_window", presence::Optional, 1s, kMaxIdempotencyWindow),
         aService.mIdempotencyWindow);
  if (aService.mIdempotent && aReader.Find("idempotency_window") != nullptr) {
    aReader.ReportAt("idempotency_window",
                     "a window of an idempotent service",
                     "a window only together with idempotent: false");
  }

  aService.mDeprecation = aReader.Time("deprecation");
  aService.mShutdown = aReader.Time("shutdown");
  if (aService.mDeprecation && aService.mShutdown && *aService.mShutdown < *aService.mDeprecation) {
    aReader.ReportAt("shutdown", "a time before deprecation", "a time not before deprecation");
  }
}

auto ParseEndpoint(value_reader& aReader, endpoint_config& aEndpoint) -> void
{
  const auto kind = aReader.Choice("kind", presence::Required, kServiceKindNames);
  Assign(kind, aEndpoint.mKind);
  aEndpoint.mServices = aReader.Names("services", presence::Required);
  Assign(aReader.Integer("generation", presence::Optional, 1, kMaxGeneration),
         aEndpoint.mGeneration);
  Assign(aReader.Choice("fencing", presence::Optional, kFencingSupportNames), aEndpoint.mFencing);
  Assign(aReader.Integer("max_concurrency", presence::Required, 1, kMaxConcurrency),
         aEndpoint.mMaxConcurrency);

  if (kind == service_kind::Plain) {
    for (const auto* key : { "kv_tokens",
                             "prefill_rate",
                             "step_time",
                             "model_version",
                             "adapters",
                             "weight_bytes" }) {
      aReader.Forbid(key, "this setting only for model endpoints");
    }
    return;
  }
  const auto needed = kind ? presence::Required : presence::Optional;
  Assign(aReader.Integer("kv_tokens", needed, 1, kMaxKvTokens), aEndpoint.mKvTokens);
  Assign(aReader.Number("prefill_rate", needed, 1, 1e9), aEndpoint.mPrefillTokensPerSecond);
  Assign(aReader.Duration("step_time", needed, 10us, 60s), aEndpoint.mStepTime);
  Assign(aReader.Name("model_version", presence::Optional), aEndpoint.mModelVersion);
  aEndpoint.mAdapters = aReader.Names("adapters", presence::Optional);
  Assign(aReader.Integer("weight_bytes", presence::Optional, 0, kMaxWeightBytes),
         aEndpoint.mWeightBytes);
}

auto ParseLimit(value_reader& aReader, limit_config& aLimit) -> void
{
  const auto scope = aReader.Choice("scope", presence::Required, kLimitScopeNames);
  Assign(scope, aLimit.mScope);
  if (scope == limit_scope::WeightStore) {
    aReader.Forbid("target", "no target, since there is one weight store");
  } else {
    Assign(aReader.Text("target", scope ? presence::Required : presence::Optional), aLimit.mTarget);
  }

  const auto unit = aReader.Choice("unit", presence::Required, kLimitUnitNames);
  Assign(unit, aLimit.mUnit);
  if (scope && unit && (scope == limit_scope::WeightStore) != (unit == limit_unit::Bytes)) {
    aReader.ReportAt("unit",
                     Describe(kLimitUnitNames.NameOf(*unit)),
                     scope == limit_scope::WeightStore ? "bytes" : "requests or tokens");
  }
  Assign(aReader.Number("rate", presence::Required, kMinRate, kMaxRate), aLimit.mRatePerSecond);
  Assign(aReader.Number("burst", presence::Required, kMinRate, kMaxRate), aLimit.mBurst);
}

/// Problems never show the value of a digest, because it may be a bearer token entered by mistake.
auto ParseTokens(value_reader& aReader, caller_config& aCaller) -> void
{
  const auto expected = std::string("a list of SHA-256 digests, 64 lower-case hexadecimal digits");
  const auto* node = aReader.Find("tokens");
  if (node == nullptr || node->mKind != yaml_node::kind::List || node->mItems.empty()) {
    aReader.ReportAt("tokens", node == nullptr ? "nothing" : "no list of values", expected);
    return;
  }
  for (auto i = std::size_t{ 0 }; i < node->mItems.size(); ++i) {
    const auto& item = node->mItems[i];
    const auto isDigest = item.mKind == yaml_node::kind::Scalar &&
                          item.mText.size() == kDigestLength &&
                          item.mText.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (isDigest) {
      aCaller.mTokenDigests.push_back(item.mText);
    } else {
      aReader.Report(item,
                     aReader.PathOf("tokens") + "[" + std::to_string(i) + "]",
                     "a value of " + std::to_string(item.mText.size()) + " characters",
                     "64 lower-case hexadecimal digits");
    }
  }
}

/// Parses one section. Created for one call of ParseSection.
class section_parser
{
public:
  section_parser(std::string_view aName, std::vector<config_problem>& aProblems)
    : mName(aName)
    , mProblems(aProblems)
  {
  }

  auto Parse(const yaml_node& aBody, section_content& aContent) -> void
  {
    auto reader = value_reader(aBody, mName, "", mProblems);
    if (aBody.mKind != yaml_node::kind::Map) {
      return;
    }
    Assign(reader.Text("owner", presence::Required), aContent.mOwner);
    ParseAll(reader.Find("tiers"), "tiers", aContent.mTiers, ParseTier);
    ParseRouting(reader.Find("routing"), aContent);
    ParseAll(reader.Find("limits"), "limits", aContent.mLimits, ParseLimit);
    ParseAll(reader.Find("services"), "services", aContent.mServices, ParseService);
    ParseAll(reader.Find("endpoints"), "endpoints", aContent.mEndpoints, ParseEndpoint);
    ParseAll(reader.Find("organisations"),
             "organisations",
             aContent.mOrganisations,
             [this](value_reader& aReader, organisation_config& aOrganisation) {
               ParseOrganisation(aReader, aOrganisation);
             });
    reader.ReportUnknownKeys();
  }

private:
  /// Parses a mapping of names to objects.
  template<class Object, class Parser>
  auto ParseAll(const yaml_node* aNode,
                const std::string& aPath,
                std::vector<parsed_object<Object>>& aObjects,
                Parser aParser) -> void
  {
    if (aNode == nullptr) {
      return;
    }
    auto names = value_reader(*aNode, mName, aPath, mProblems);
    for (auto i = std::size_t{ 0 }; i < aNode->mKeys.size(); ++i) {
      const auto& key = aNode->mKeys[i];
      const auto problemsBefore = mProblems.size();
      if (!IsName(key.mText)) {
        names.Report(key,
                     names.PathOf(key.mText.substr(0, kMaxNameLength)),
                     Describe(key),
                     "a name of letters, digits, -, _ and .");
      }
      auto& object = aObjects.emplace_back();
      object.mObject.mName = key.mText;
      object.mPosition = PositionOf(key);
      auto reader = value_reader(aNode->mItems[i], mName, names.PathOf(key.mText), mProblems);
      if (aNode->mItems[i].mKind == yaml_node::kind::Map) {
        aParser(reader, object.mObject);
        reader.ReportUnknownKeys();
      }
      object.mIsValid = mProblems.size() == problemsBefore;
    }
  }

  auto ParseRouting(const yaml_node* aNode, section_content& aContent) -> void
  {
    if (aNode == nullptr) {
      return;
    }
    auto reader = value_reader(*aNode, mName, "routing", mProblems);
    auto& routing = aContent.mRouting.emplace().mObject;
    aContent.mRouting->mPosition = PositionOf(*aNode);
    Assign(reader.Integer("initial_candidates", presence::Optional, 1, 1000),
           routing.mInitialCandidates);
    Assign(reader.Integer("agents_per_service", presence::Optional, 1, 100'000),
           routing.mAgentsPerService);
    Assign(reader.Duration("widen_after", presence::Optional, 1ms, 10s), routing.mWidenAfter);
    Assign(reader.Duration("cross_zone_penalty", presence::Optional, 0us, 10s),
           routing.mCrossZonePenalty);
    Assign(reader.Number("retry_ratio", presence::Optional, 0, kMaxRetryRatio),
           routing.mRetryRatio);
    if (routing.mInitialCandidates > routing.mAgentsPerService) {
      reader.ReportAt("initial_candidates",
                      std::to_string(routing.mInitialCandidates),
                      "at most agents_per_service, " + std::to_string(routing.mAgentsPerService));
    }
    reader.ReportUnknownKeys();
  }

  auto ParseOrganisation(value_reader& aReader, organisation_config& aOrganisation) -> void
  {
    Assign(aReader.Number("weight", presence::Optional, kMinWeight, kMaxWeight),
           aOrganisation.mWeight);
    const auto* node = aReader.Find("callers");
    if (node == nullptr || (node->mKind == yaml_node::kind::Map && node->mKeys.empty())) {
      aReader.ReportAt("callers", "nothing", "at least one group of callers");
      return;
    }
    auto callers = std::vector<parsed_object<caller_config>>();
    ParseAll(node,
             aReader.PathOf("callers"),
             callers,
             [](value_reader& aCallerReader, caller_config& aCaller) {
               Assign(aCallerReader.Name("tier", presence::Required), aCaller.mTier);
               aCaller.mServices = aCallerReader.Names("services", presence::Required);
               ParseTokens(aCallerReader, aCaller);
             });
    for (auto& caller : callers) {
      aOrganisation.mCallers.push_back(std::move(caller.mObject));
    }
  }

  std::string mName;
  std::vector<config_problem>& mProblems;
};

} // namespace

auto ParseSection(std::string_view aName,
                  std::string_view aText,
                  std::size_t aLineOffset,
                  std::vector<config_problem>& aProblems) -> std::shared_ptr<const section_content>
{
  const auto problemsBefore = aProblems.size();
  const auto name = std::string(aName.substr(0, kMaxNameLength));
  const auto addError = [&](const yaml_error& aError) {
    aProblems.push_back(
      { name, aError.mLine, aError.mColumn, "", aError.mFound, aError.mExpected });
  };

  // The text must be a mapping with one key, the section's name.
  if (const auto error = FindEncodingError(aText, kMaxDocumentBytes)) {
    addError(*error);
    return nullptr;
  }
  const auto parsed = ParseYaml(aText, aLineOffset);
  if (const auto* error = std::get_if<yaml_error>(&parsed)) {
    addError(*error);
    return nullptr;
  }
  const auto& root = std::get<yaml_node>(parsed);
  if (root.mKind != yaml_node::kind::Map || root.mKeys.size() != 1 ||
      root.mKeys.front().mText != aName || !IsName(aName)) {
    addError({ root.mLine, root.mColumn, Describe(root), "the section " + Describe(aName) });
    return nullptr;
  }

  auto content = std::make_shared<section_content>();
  content->mName = name;
  section_parser(name, aProblems).Parse(root.mItems.front(), *content);
  content->mIsValid = aProblems.size() == problemsBefore;
  return content;
}

} // namespace bronzering
