#pragma once

#include <bronzering/coordination/messages.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// Parsed HTTP request that a fake handles.
struct fake_request
{
  std::string mMethod;
  std::string mPath;
  std::map<std::string, std::string> mQuery;
  std::vector<header_field> mHeaders;
  std::string mBody;

  /// Value of a header field, matched case-insensitively; empty when it is absent.
  [[nodiscard]] auto Header(std::string_view aName) const -> std::string;
  /// Number in the query string; aDefault when it is absent or not a number.
  [[nodiscard]] auto Number(const std::string& aName, std::uint64_t aDefault) const
    -> std::uint64_t;
};

/// Writes the response to one request. The methods block, and return false once the connection is
/// closed. Used only by the connection's thread.
class fake_response_writer
{
public:
  struct state;
  explicit fake_response_writer(state& aState);

  auto Send(std::uint32_t aStatus,
            std::string_view aBody,
            std::string_view aType = "application/json",
            const std::vector<header_field>& aHeaders = {}) -> bool;
  /// Starts a response with chunked transfer encoding.
  auto Begin(std::uint32_t aStatus, std::string_view aType) -> bool;
  auto Write(std::string_view aBytes) -> bool;
  auto End() -> bool;
  /// Closes the connection; a response that was started stays incomplete.
  auto Drop() -> void;
  /// Stops sending but keeps the connection open until the peer closes it.
  auto Stall() -> void;

private:
  state& mState;
};

/// HTTP/1.1 server with one thread per connection, for a few hundred connections. Connections
/// above the limit are closed at once. Thread-safe; the handler is called on many threads.
class fake_http_server
{
public:
  using handler = std::function<void(const fake_request&, fake_response_writer&)>;

  /// Listens on 127.0.0.1; port 0 selects a free port. Throws when the port is in use.
  fake_http_server(std::uint16_t aPort, handler aHandler);
  /// Closes all connections and waits for their threads. The handler must not block indefinitely.
  ~fake_http_server();
  fake_http_server(const fake_http_server&) = delete;
  auto operator=(const fake_http_server&) -> fake_http_server& = delete;

  [[nodiscard]] auto Port() const -> std::uint16_t;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace bronzering
