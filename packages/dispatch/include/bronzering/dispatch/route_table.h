#pragma once

#include <bronzering/dispatch/routing_document.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzering {

/// Index of the routes, organisations and services of one routing document. Immutable after
/// construction, so that a request uses the same version throughout. Thread-safe.
class route_table
{
public:
  explicit route_table(routing_document aDocument);

  /// Returns the route of the host with the longest matching path prefix, or null if none matches.
  /// aHost may include a port; aTarget may include a query.
  [[nodiscard]] auto FindRoute(std::string_view aHost, std::string_view aTarget) const
    -> const route_spec*;
  /// Returns null for an unknown API key, and for the empty one.
  [[nodiscard]] auto FindOrganisation(const std::string& aKey) const -> const organisation_spec*;
  /// Whether requests on the route need the key of an organisation.
  [[nodiscard]] auto RequiresKey(const route_spec& aRoute) const -> bool;
  /// Returns null for an unknown service.
  [[nodiscard]] auto FindService(std::string_view aName) const -> const service_spec*;
  /// Picks one of the services of a route by weight. aUnit is a uniform random number in [0, 1).
  /// Precondition: the route has a service.
  [[nodiscard]] static auto PickService(const route_spec& aRoute, double aUnit)
    -> const std::string&;
  /// The highest rank in the document: most urgent organisation and most urgent route.
  [[nodiscard]] auto MostUrgent() const -> request_rank { return mMostUrgent; }
  [[nodiscard]] auto Document() const -> const routing_document& { return mDocument; }

private:
  struct string_hash
  {
    using is_transparent = void; // NOLINT(readability-identifier-naming): name set by std
    auto operator()(std::string_view aText) const -> std::size_t
    {
      return std::hash<std::string_view>{}(aText);
    }
  };
  template<class Value>
  using string_map = std::unordered_map<std::string, Value, string_hash, std::equal_to<>>;

  routing_document mDocument;
  /// Routes by host and prefix, separated by a space.
  string_map<const route_spec*> mRoutes;
  string_map<const organisation_spec*> mOrganisationsByKey;
  string_map<const service_spec*> mServices;
  request_rank mMostUrgent;
};

} // namespace bronzering
