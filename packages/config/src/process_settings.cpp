#include <bronzering/config/process_settings.h>

#include "value_reader.h"
#include "yaml_tree.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <fstream>
#include <set>

extern char** environ;

namespace bronzering {

namespace {

constexpr auto kEnvironmentPrefix = std::string_view("BRONZERING_");
/// Maximum size of a settings file.
constexpr auto kMaxSettingsFileBytes = std::size_t{ 64 } * 1024;
// TLS pre-shared keys shorter than this can be guessed offline from a recorded handshake.
constexpr std::size_t kMinKeyBytes = 16;
// ReadPresharedKey repeats both limits in its messages.
constexpr std::size_t kMaxKeyBytes = 4096;
// Upper limits of the values of settings: of traffic_threads, of all numbers of connections,
// requests and tickets, and of all sizes in bytes.
constexpr std::size_t kMaxThreads = 64;
constexpr std::size_t kMaxCount = 10'000'000;
constexpr auto kMaxBytes = std::size_t{ 1024 } * 1024 * 1024;

constexpr auto kPresharedKeyName = std::string_view("preshared_key");
constexpr auto kPresharedKeyFileName = std::string_view("preshared_key_file");

struct setting_spec
{
  std::string_view mName;
  std::string_view mDescription;
};

constexpr auto kCommonSpecs = std::array<setting_spec, 10>{ {
  { "vm", "name of this VM" },
  { "availability_zone", "availability zone of this VM" },
  { "peer_listen", "address:port to listen on for peers" },
  { "operator_listen", "address:port to listen on for the operator HTTP interface" },
  { "configuration_service", "address:port of the configuration service" },
  { "vm_list", "address:port of the VM list" },
  { kPresharedKeyFileName, "file with the secret that all processes share" },
  { kPresharedKeyName, "secret that all processes share" },
  { "traffic_threads", "threads that serve connections" },
  { "max_connections", "maximum number of accepted connections" },
} };
constexpr auto kEntrySpecs = std::array<setting_spec, 5>{ {
  { "caller_listen", "address:port to listen on for callers" },
  // Limits the request line and the header fields together.
  { "max_header_bytes", "maximum size of a caller's request head in bytes" },
  { "max_body_bytes", "maximum size of a caller's request body in bytes" },
  { "max_waiting", "maximum number of requests waiting for a grant" },
  { "max_waiting_per_organisation", "maximum number of waiting requests of one organisation" },
} };
constexpr auto kAgentSpecs = std::array<setting_spec, 4>{ {
  { "endpoint", "name of the endpoint in the fleet document" },
  { "engine_address", "address:port of the engine that this agent manages" },
  // Bound on the loopback interface, so that two agents cannot control one engine.
  { "exclusive_port", "local TCP port held for the lifetime of the process" },
  { "max_tickets", "maximum number of waiting tickets" },
} };

using spec_list = std::vector<setting_spec>;

template<std::size_t Count>
auto CombineSpecs(const std::array<setting_spec, Count>& aOwn) -> spec_list
{
  auto specs = spec_list(kCommonSpecs.begin(), kCommonSpecs.end());
  specs.insert(specs.end(), aOwn.begin(), aOwn.end());
  return specs;
}

auto FlagsOf(const spec_list& aSpecs) -> std::vector<setting_flag>
{
  auto flags = std::vector<setting_flag>();
  for (const auto& spec : aSpecs) {
    if (spec.mName != kPresharedKeyName) {
      flags.push_back({ std::string(spec.mName), std::string(spec.mDescription) });
    }
  }
  return flags;
}

auto EnvironmentName(std::string_view aName) -> std::string
{
  auto name = std::string(kEnvironmentPrefix);
  for (const auto character : aName) {
    name.push_back(static_cast<char>(std::toupper(static_cast<unsigned char>(character))));
  }
  return name;
}

/// Merges the sources of the settings and returns validated values. Created for one load.
class settings_reader
{
public:
  settings_reader(const settings_input& aInput,
                  const spec_list& aSpecs,
                  std::vector<setting_problem>& aProblems)
    : mSpecs(aSpecs)
    , mProblems(aProblems)
  {
    if (aInput.mFile) {
      ReadFile(*aInput.mFile);
    }
    ReadEnvironment(aInput.mEnvironment);
    for (const auto& [name, value] : aInput.mFlags) {
      if (IsKnown(name) && name != kPresharedKeyName) {
        if (name == kPresharedKeyFileName) {
          mValues.erase(std::string(kPresharedKeyName));
        }
        mValues[name] = { value, "command line" };
      } else {
        Report("command line", name, "an unknown setting", "a setting of this process");
      }
    }
  }

  // Each Read method validates one setting and stores its value in aTarget. It reports a problem if
  // the value is invalid, or if it is missing and required.

  auto ReadName(std::string_view aName, std::string& aTarget) -> void
  {
    if (const auto* value = Get(aName, true, "a name of letters, digits, -, _ and .")) {
      if (!IsName(value->mText)) {
        Report(aName, *value, "a name of letters, digits, -, _ and .");
      }
      aTarget = value->mText;
    }
  }

  auto ReadAddress(std::string_view aName,
                   bool aRequired,
                   bool aAllowPortZero,
                   std::string& aTarget) -> void
  {
    const auto expected = std::string_view("a numeric address:port, such as 10.0.0.1:7000");
    if (const auto* value = Get(aName, aRequired, expected)) {
      const auto address = ParseSocketAddress(value->mText);
      if (!address || (address->mPort == 0 && !aAllowPortZero)) {
        Report(aName, *value, expected);
      }
      aTarget = value->mText;
    }
  }

  template<class Integer>
  auto ReadNumber(std::string_view aName,
                  bool aRequired,
                  std::size_t aMin,
                  std::size_t aMax,
                  Integer& aTarget) -> void
  {
    const auto expected =
      "a whole number from " + std::to_string(aMin) + " to " + std::to_string(aMax);
    const auto* value = Get(aName, aRequired, expected);
    if (value == nullptr) {
      return;
    }
    const auto number = ParseNumber(value->mText);
    if (!number || std::floor(*number) != *number || *number < static_cast<double>(aMin) ||
        *number > static_cast<double>(aMax)) {
      Report(aName, *value, expected);
      return;
    }
    aTarget = static_cast<Integer>(*number);
  }

  /// Reads the key or its file from the source of highest precedence that has one of them. Reports
  /// a problem if that source has both.
  auto ReadPresharedKey(std::string& aTarget) -> void
  {
    const auto key = mValues.find(kPresharedKeyName);
    const auto path = mValues.find(kPresharedKeyFileName);
    if (key == mValues.end() && path == mValues.end()) {
      Report("settings", kPresharedKeyName, "nothing", "this setting or preshared_key_file");
      return;
    }
    if (key != mValues.end() && path != mValues.end()) {
      Report(path->second.mSource,
             kPresharedKeyFileName,
             "both preshared_key and preshared_key_file",
             "one of them");
      return;
    }
    const auto& value = key != mValues.end() ? key->second : path->second;
    auto text = std::optional(value.mText);
    if (key == mValues.end()) {
      text = ReadTextFile(value.mText, kMaxKeyBytes);
      if (!text) {
        Report(kPresharedKeyFileName, value, "a readable file of at most 4096 bytes");
        return;
      }
      // Editors usually append a line break.
      while (!text->empty() && (text->back() == '\n' || text->back() == '\r')) {
        text->pop_back();
      }
    }
    if (text->size() < kMinKeyBytes || text->size() > kMaxKeyBytes) {
      Report(value.mSource,
             key != mValues.end() ? kPresharedKeyName : kPresharedKeyFileName,
             "a secret of " + std::to_string(text->size()) + " bytes",
             "16 to 4096 bytes");
    }
    aTarget = *std::move(text);
  }

  auto Report(std::string aSource,
              std::string_view aName,
              std::string aFound,
              std::string aExpected) -> void
  {
    mProblems.push_back(
      { std::move(aSource), std::string(aName), std::move(aFound), std::move(aExpected) });
  }

  [[nodiscard]] auto SourceOf(std::string_view aName) const -> std::string
  {
    const auto value = mValues.find(aName);
    return value == mValues.end() ? "settings" : value->second.mSource;
  }

private:
  struct sourced_value
  {
    std::string mText;
    std::string mSource;
  };

  auto IsKnown(std::string_view aName) const -> bool
  {
    return std::any_of(mSpecs.begin(), mSpecs.end(), [&](const setting_spec& aSpec) {
      return aSpec.mName == aName;
    });
  }

  auto ReadFile(const std::string& aText) -> void
  {
    const auto source = [](std::size_t aLine) {
      return "settings file, line " + std::to_string(aLine);
    };
    if (const auto error = FindEncodingError(aText, kMaxSettingsFileBytes)) {
      Report(source(error->mLine), "", error->mFound, error->mExpected);
      return;
    }
    const auto parsed = ParseYaml(aText);
    if (const auto* error = std::get_if<yaml_error>(&parsed)) {
      Report(source(error->mLine), "", error->mFound, error->mExpected);
      return;
    }
    const auto& root = std::get<yaml_node>(parsed);
    if (root.mKind != yaml_node::kind::Map) {
      Report(source(root.mLine), "", Describe(root), "a mapping from settings to values");
      return;
    }
    auto seen = std::set<std::string_view>();
    for (auto i = std::size_t{ 0 }; i < root.mKeys.size(); ++i) {
      const auto& key = root.mKeys[i];
      const auto& value = root.mItems[i];
      if (!seen.insert(key.mText).second) {
        Report(source(key.mLine), key.mText, "a second value", "each setting once");
      } else if (!IsKnown(key.mText)) {
        Report(source(key.mLine), key.mText, "an unknown setting", "a setting of this process");
      } else if (value.mKind != yaml_node::kind::Scalar || value.mText.empty()) {
        Report(source(value.mLine), key.mText, Describe(value), "one value");
      } else {
        mValues[key.mText] = { value.mText, source(value.mLine) };
      }
    }
  }

  auto ReadEnvironment(const std::map<std::string, std::string>& aVariables) -> void
  {
    for (const auto& entry : aVariables) {
      const auto& variable = entry.first;
      const auto& value = entry.second;
      const auto spec = std::find_if(mSpecs.begin(), mSpecs.end(), [&](const setting_spec& aSpec) {
        return EnvironmentName(aSpec.mName) == variable;
      });
      if (spec == mSpecs.end()) {
        Report("environment", variable, "an unknown variable", "a setting of this process");
        continue;
      }
      // A key from the environment replaces a key file from the settings file, and vice versa.
      if (spec->mName == kPresharedKeyName) {
        mValues.erase(std::string(kPresharedKeyFileName));
      } else if (spec->mName == kPresharedKeyFileName &&
                 !aVariables.contains(EnvironmentName(kPresharedKeyName))) {
        mValues.erase(std::string(kPresharedKeyName));
      }
      mValues[std::string(spec->mName)] = { value, "environment" };
    }
  }

  auto Get(std::string_view aName, bool aRequired, std::string_view aExpected)
    -> const sourced_value*
  {
    const auto value = mValues.find(aName);
    if (value == mValues.end()) {
      if (aRequired) {
        Report("settings", aName, "nothing", std::string(aExpected));
      }
      return nullptr;
    }
    return &value->second;
  }

  auto Report(std::string_view aName, const sourced_value& aValue, std::string_view aExpected)
    -> void
  {
    Report(aValue.mSource, aName, Describe(aValue.mText), std::string(aExpected));
  }

  const spec_list& mSpecs;
  std::vector<setting_problem>& mProblems;
  std::map<std::string, sourced_value, std::less<>> mValues;
};

auto ReadProcessSettings(settings_reader& aReader, process_settings& aSettings) -> void
{
  aReader.ReadName("vm", aSettings.mVm);
  aReader.ReadName("availability_zone", aSettings.mAvailabilityZone);
  aReader.ReadAddress("peer_listen", true, true, aSettings.mPeerListen);
  aReader.ReadAddress("operator_listen", false, true, aSettings.mOperatorListen);
  aReader.ReadAddress("configuration_service", true, false, aSettings.mConfigurationService);
  aReader.ReadAddress("vm_list", true, false, aSettings.mVmList);
  aReader.ReadPresharedKey(aSettings.mPresharedKey);
  aReader.ReadNumber("traffic_threads", false, 1, kMaxThreads, aSettings.mTrafficThreads);
  aReader.ReadNumber("max_connections", false, 1, kMaxCount, aSettings.mMaxConnections);
}

} // namespace

auto ToString(const setting_problem& aProblem) -> std::string
{
  auto text = aProblem.mSource;
  if (!aProblem.mName.empty()) {
    text += ", " + aProblem.mName;
  }
  return text + ": found " + aProblem.mFound + ", expected " + aProblem.mExpected;
}

auto EntryFlags() -> std::vector<setting_flag>
{
  return FlagsOf(CombineSpecs(kEntrySpecs));
}

auto AgentFlags() -> std::vector<setting_flag>
{
  return FlagsOf(CombineSpecs(kAgentSpecs));
}

auto LoadEntrySettings(const settings_input& aInput) -> loaded_settings<entry_process_settings>
{
  auto loaded = loaded_settings<entry_process_settings>();
  const auto specs = CombineSpecs(kEntrySpecs);
  auto reader = settings_reader(aInput, specs, loaded.mProblems);
  auto& settings = loaded.mSettings;
  ReadProcessSettings(reader, settings.mProcess);
  reader.ReadAddress("caller_listen", true, true, settings.mCallerListen);
  reader.ReadNumber("max_header_bytes", false, 256, kMaxBytes, settings.mMaxHeaderBytes);
  reader.ReadNumber("max_body_bytes", false, 256, kMaxBytes, settings.mMaxBodyBytes);
  reader.ReadNumber("max_waiting", false, 1, kMaxCount, settings.mMaxWaiting);
  reader.ReadNumber(
    "max_waiting_per_organisation", false, 1, kMaxCount, settings.mMaxWaitingPerOrganisation);
  if (settings.mMaxWaitingPerOrganisation > settings.mMaxWaiting) {
    reader.Report(reader.SourceOf("max_waiting_per_organisation"),
                  "max_waiting_per_organisation",
                  std::to_string(settings.mMaxWaitingPerOrganisation),
                  "at most max_waiting, " + std::to_string(settings.mMaxWaiting));
  }
  return loaded;
}

auto LoadAgentSettings(const settings_input& aInput) -> loaded_settings<agent_process_settings>
{
  auto loaded = loaded_settings<agent_process_settings>();
  const auto specs = CombineSpecs(kAgentSpecs);
  auto reader = settings_reader(aInput, specs, loaded.mProblems);
  auto& settings = loaded.mSettings;
  ReadProcessSettings(reader, settings.mProcess);
  reader.ReadName("endpoint", settings.mEndpoint);
  reader.ReadAddress("engine_address", true, false, settings.mEngineAddress);
  reader.ReadNumber("exclusive_port", true, 1, 65535, settings.mExclusivePort);
  reader.ReadNumber("max_tickets", false, 1, kMaxCount, settings.mMaxTickets);
  return loaded;
}

auto ReadSettingsEnvironment() -> std::map<std::string, std::string>
{
  auto variables = std::map<std::string, std::string>();
  for (auto** variable = environ; variable != nullptr && *variable != nullptr; ++variable) {
    const auto text = std::string_view(*variable);
    const auto equals = text.find('=');
    if (text.starts_with(kEnvironmentPrefix) && equals != std::string_view::npos) {
      variables.emplace(text.substr(0, equals), text.substr(equals + 1));
    }
  }
  return variables;
}

auto ReadTextFile(const std::string& aPath, std::size_t aMaxBytes) -> std::optional<std::string>
{
  auto file = std::ifstream(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  // Reading one more byte than allowed detects files that are too long.
  auto text = std::string(aMaxBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || file.gcount() < 0 || static_cast<std::size_t>(file.gcount()) > aMaxBytes) {
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

auto ParseSocketAddress(std::string_view aText) -> std::optional<socket_address>
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto portText = aText.substr(colon + 1);
  auto port = std::uint16_t{ 0 };
  const auto* const last = portText.data() + portText.size();
  const auto [end, error] = std::from_chars(portText.data(), last, port);
  if (error != std::errc() || end != last || portText.empty()) {
    return std::nullopt;
  }

  auto host = std::string(aText.substr(0, colon));
  const auto isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (isBracketed) {
    host = host.substr(1, host.size() - 2);
  }
  auto buffer = std::array<unsigned char, sizeof(in6_addr)>{};
  if (inet_pton(isBracketed ? AF_INET6 : AF_INET, host.c_str(), buffer.data()) != 1) {
    return std::nullopt;
  }
  return socket_address{ host, port };
}

} // namespace bronzering
