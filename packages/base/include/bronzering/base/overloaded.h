#pragma once

namespace bronzering {

/// Combines lambdas into one visitor for std::visit.
template<class... Visitors>
struct overloaded : Visitors...
{
  using Visitors::operator()...;
};

template<class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace bronzering
