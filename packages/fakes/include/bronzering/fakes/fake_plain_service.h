#pragma once

#include <bronzering/base/time.h>
#include <bronzering/fakes/fake_http_server.h>

#include <cstdint>
#include <memory>

namespace bronzering {

struct fake_plain_service_settings
{
  std::uint16_t mPort = 0;
  std::uint64_t mSeed = 1;
  /// Mean of the exponentially distributed service time.
  duration mMeanTime = std::chrono::milliseconds(5);
};

/// Fake application service for stock lookups, orders and any other call. Every response is
/// determined by its request (see ExpectedPlainResponse), and every execution is counted.
///
/// GET /executions returns the counts by request id and by idempotency key. POST /control takes a
/// JSON object: "mean_ms" (mean service time), "crash" (terminates the process).
class fake_plain_service
{
public:
  explicit fake_plain_service(fake_plain_service_settings aSettings);
  ~fake_plain_service();
  fake_plain_service(const fake_plain_service&) = delete;
  auto operator=(const fake_plain_service&) -> fake_plain_service& = delete;

  [[nodiscard]] auto Port() const -> std::uint16_t;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace bronzering
