#pragma once

#include <bronzering/base/time.h>
#include <bronzering/fakes/fake_http_server.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace bronzering {

/// Larger documents are not served.
inline constexpr std::size_t kMaxDocumentBytes = 1024UL * 1024;

/// Fake of the platform's configuration service. Serves the document in a file; each change of the
/// file is a new revision.
///
/// GET /v1/document?after=R&wait=S returns 200 with the header Document-Revision once the revision
/// is above R, and 304 after S seconds. POST /control takes a JSON object: "mode" is "normal",
/// "outage" (connections are closed without a response), "stale" (the current document is served
/// from now on) or "backwards" (the first document is served again, with its revision). GET /stats
/// returns the number of calls.
class fake_configuration_service
{
public:
  fake_configuration_service(std::uint16_t aPort, std::string aFile, std::uint64_t aFirstRevision);
  ~fake_configuration_service();
  fake_configuration_service(const fake_configuration_service&) = delete;
  auto operator=(const fake_configuration_service&) -> fake_configuration_service& = delete;

  [[nodiscard]] auto Port() const -> std::uint16_t;

private:
  struct state;
  std::unique_ptr<state> mState;
};

/// Fake of the platform's VM list. Serves the JSON array in a file at GET /v1/vms; a change of the
/// file becomes visible after aLag. POST /control takes {"outage": true or false}.
class fake_vm_list
{
public:
  fake_vm_list(std::uint16_t aPort, std::string aFile, duration aLag);
  ~fake_vm_list();
  fake_vm_list(const fake_vm_list&) = delete;
  auto operator=(const fake_vm_list&) -> fake_vm_list& = delete;

  [[nodiscard]] auto Port() const -> std::uint16_t;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace bronzering
