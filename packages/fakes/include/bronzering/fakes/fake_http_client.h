#pragma once

#include <bronzering/coordination/messages.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// Response read by the blocking client.
struct fake_response
{
  /// Zero when no complete response header was received.
  std::uint32_t mStatus = 0;
  std::vector<header_field> mHeaders;
  std::string mBody;
  /// Whether the body was received to its end.
  bool mIsWhole = false;
};

/// Blocking HTTP/1.1 client with one keep-alive connection to 127.0.0.1; reconnects after the
/// connection was closed. Never retries a call. Not thread-safe.
class fake_http_client
{
public:
  using on_body = std::function<void(std::string_view aBytes)>;

  explicit fake_http_client(std::uint16_t aPort);
  ~fake_http_client();
  fake_http_client(const fake_http_client&) = delete;
  auto operator=(const fake_http_client&) -> fake_http_client& = delete;

  /// aOnBody is called with each part of the body as it arrives.
  [[nodiscard]] auto Call(std::string_view aMethod,
                          std::string_view aTarget,
                          const std::vector<header_field>& aHeaders = {},
                          std::string_view aBody = {},
                          const on_body& aOnBody = {}) -> fake_response;

private:
  struct state;
  std::unique_ptr<state> mState;
};

/// Joins the generated text of the server-sent events of a streamed completion.
[[nodiscard]] auto StreamedText(std::string_view aBody) -> std::string;

} // namespace bronzering
