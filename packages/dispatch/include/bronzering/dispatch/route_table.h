#pragma once

#include <bronzering/dispatch/routing_document.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzering {

/// Looks up routes, organisations and services of one routing document. Immutable after
/// construction, so that a request keeps the version it began with. Thread-safe.
class route_table
{
public:
  explicit route_table(routing_document aDocument);

  /// The route of that host whose prefix is the longest one that begins the path; null when none
  /// does. aHost may carry a port; aTarget may carry a query.
  [[nodiscard]] auto FindRoute(std::string_view aHost, std::string_view aTarget) const
    -> const route_spec*;
  /// Null for an unknown key.
  [[nodiscard]] auto FindOrganisation(const std::string& aKey) const -> const organisation_spec*;
  /// Null for an unknown service.
  [[nodiscard]] auto FindService(std::string_view aName) const -> const service_spec*;
  /// Picks one of the route's services by weight. aUnit is uniform in [0, 1). Precondition: the
  /// route has a service.
  [[nodiscard]] static auto PickService(const route_spec& aRoute, double aUnit)
    -> const std::string&;
  /// The rank of the most urgent organisation on the most urgent route.
  [[nodiscard]] auto MostUrgent() const -> request_rank { return mMostUrgent; }
  [[nodiscard]] auto Document() const -> const routing_document& { return mDocument; }

private:
  struct text_hash
  {
    using is_transparent = void; // NOLINT(readability-identifier-naming): named by the library
    auto operator()(std::string_view aText) const -> std::size_t
    {
      return std::hash<std::string_view>{}(aText);
    }
  };
  template<class Value>
  using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

  routing_document mDocument;
  /// Routes by host and prefix, joined by a space.
  text_map<const route_spec*> mRoutes;
  text_map<const organisation_spec*> mByKey;
  text_map<const service_spec*> mServices;
  request_rank mMostUrgent;
};

} // namespace bronzering
