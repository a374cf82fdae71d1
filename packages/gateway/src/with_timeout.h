#pragma once

#include <bronzering/base/time.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace bronzering {

/// The result of aOperation. Empty when aTimeout expired first, in which case it was cancelled.
template<class Result>
auto WithTimeout(boost::asio::awaitable<Result> aOperation, duration aTimeout)
  -> boost::asio::awaitable<std::optional<Result>>
{
  using namespace boost::asio::experimental::awaitable_operators;
  auto timer = boost::asio::steady_timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(std::max(aTimeout, duration::zero()));
  auto result = co_await (std::move(aOperation) ||
                          timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable)));
  if (result.index() == 0) {
    co_return std::move(std::get<0>(result));
  }
  co_return std::nullopt;
}

} // namespace bronzering
