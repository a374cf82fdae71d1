#include "event_splitter.h"

#include <catch2/catch.hpp>

using namespace bronzering;

TEST_CASE("only complete events are forwarded, wherever the bytes are split", "[event_splitter]")
{
  const auto stream = std::string("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n");
  for (auto cut = std::size_t{ 0 }; cut <= stream.size(); ++cut) {
    auto splitter = event_splitter();
    const auto first = splitter.Add(stream.substr(0, cut));
    const auto second = splitter.Add(stream.substr(cut));
    CHECK(first.mBytes + second.mBytes == stream);
    CHECK(first.mEvents + second.mEvents == 3);
    CHECK(splitter.LastId() == "3");
    CHECK(splitter.PartialEvent().empty());
  }
}

TEST_CASE("a resumed stream drops the partial event and those already forwarded",
          "[event_splitter]")
{
  auto splitter = event_splitter();
  CHECK(splitter.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda").mEvents == 2);
  splitter.BeginAttempt();
  const auto part = splitter.Add("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  CHECK(part.mBytes == "id: 3\ndata: c\n\n");
  CHECK(!part.mHasGap);
}

TEST_CASE("a resumed stream that skips an event is reported", "[event_splitter]")
{
  auto splitter = event_splitter();
  static_cast<void>(splitter.Add("id: 1\ndata: a\n\n"));
  splitter.BeginAttempt();
  const auto part = splitter.Add("id: 3\ndata: c\n\n");
  CHECK(part.mHasGap);
  CHECK(part.mBytes.empty());
}

TEST_CASE("an id that is not the event's first line is found", "[event_splitter]")
{
  auto splitter = event_splitter();
  CHECK(splitter.Add("x-weight-versions: 2\nid: 7\ndata: a\n\n").mEvents == 1);
  CHECK(splitter.LastId() == "7");
}
