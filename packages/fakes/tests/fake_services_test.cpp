#include <bronzering/fakes/fake_http_client.h>
#include <bronzering/fakes/fake_plain_service.h>
#include <bronzering/fakes/fake_platform.h>
#include <bronzering/fakes/fake_text.h>

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <thread>

using namespace bronzering;

namespace {

/// A file that is removed by the destructor.
class temporary_file
{
public:
  explicit temporary_file(const std::string& aName)
    : mPath(
        std::filesystem::temp_directory_path() /
        (aName + "-" + std::to_string(std::hash<std::thread::id>{}(std::this_thread::get_id()))))
  {
  }
  ~temporary_file() { std::filesystem::remove(mPath); }
  auto Write(const std::string& aText) const -> void
  {
    // Renamed into place, so that a reader never sees a partial file.
    std::ofstream(mPath.string() + ".new") << aText;
    std::filesystem::rename(mPath.string() + ".new", mPath);
  }
  [[nodiscard]] auto Path() const -> std::string { return mPath.string(); }

private:
  std::filesystem::path mPath;
};

auto DocumentRevision(const fake_response& aResponse) -> std::string
{
  for (const auto& field : aResponse.mHeaders) {
    if (field.mName == "Document-Revision") {
      return field.mValue;
    }
  }
  return {};
}

} // namespace

TEST_CASE("a plain service counts every execution")
{
  // Guards against a repeated execution that tests cannot detect because it is not counted.
  fake_plain_service service({});
  fake_http_client client(service.Port());
  for (int i = 0; i < 2; ++i) {
    const auto answer = client.Call(
      "POST", "/orders", { { "Idempotency-Key", "k" }, { "X-Request-Id", "r" } }, "one lamp");
    CHECK(answer.mStatus == 201);
    CHECK(answer.mBody == ExpectedPlainResponse("POST", "/orders", "one lamp"));
  }
  const auto counts = client.Call("GET", "/executions").mBody;
  CHECK(counts.find(R"("total":2)") != std::string::npos);
  CHECK(counts.find(R"("by_request":{"r":2},"by_key":{"k":2})") != std::string::npos);
}

TEST_CASE("the configuration service publishes revisions and simulates outages and old documents")
{
  // Guards against test runs in which the requested outages and old documents do not take effect.
  const temporary_file file("bronzering-document");
  file.Write("a: 1\n");
  fake_configuration_service service(0, file.Path(), 5);
  fake_http_client client(service.Port());
  CHECK(DocumentRevision(client.Call("GET", "/v1/document")) == "5");
  CHECK(client.Call("GET", "/v1/document?after=5&wait=0").mStatus == 304);

  // A long poll returns once the document changes.
  std::thread writer([&] { file.Write("a: 2\n"); });
  const auto changed = client.Call("GET", "/v1/document?after=5&wait=60");
  writer.join();
  CHECK(DocumentRevision(changed) == "6");
  CHECK(changed.mBody == "a: 2\n");

  REQUIRE(client.Call("POST", "/control", {}, R"({"mode":"backwards"})").mStatus == 200);
  CHECK(DocumentRevision(client.Call("GET", "/v1/document?after=6&wait=60")) == "5");
  REQUIRE(client.Call("POST", "/control", {}, R"({"mode":"outage"})").mStatus == 200);
  CHECK(client.Call("GET", "/v1/document").mStatus == 0);
  REQUIRE(client.Call("POST", "/control", {}, R"({"mode":"normal"})").mStatus == 200);
  CHECK(DocumentRevision(client.Call("GET", "/v1/document")) == "6");

  // A document above the size limit is not served.
  file.Write(std::string(kMaxDocumentBytes + 1, 'x'));
  CHECK(client.Call("GET", "/v1/document?after=6&wait=1").mStatus == 304);
}

TEST_CASE("the VM list serves changes of its file")
{
  // Guards against membership tests that run against a list that never changes.
  const temporary_file file("bronzering-vms");
  file.Write("[]");
  fake_vm_list list(0, file.Path(), std::chrono::milliseconds(10));
  fake_http_client client(list.Port());
  CHECK(client.Call("GET", "/v1/vms").mBody == "[]");
  file.Write("[1]");
  while (client.Call("GET", "/v1/vms").mBody != "[1]") {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  REQUIRE(client.Call("POST", "/control", {}, R"({"outage":true})").mStatus == 200);
  CHECK(client.Call("GET", "/v1/vms").mStatus == 0);
}
