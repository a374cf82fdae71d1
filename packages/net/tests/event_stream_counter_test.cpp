#include "event_stream_counter.h"

#include <catch2/catch.hpp>

using namespace bronzering;

TEST_CASE("the token count does not depend on how the stream is split")
{
  // Guards against events that are counted twice or missed when they span two reads.
  const std::string stream = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"
                             "data: {\"choices\":[{\"text\":\"\\\"usage\\\":{\"}]}\r\n\r\n"
                             ": comment\n\n"
                             "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":7,"
                             "\"completion_tokens\":2,"
                             "\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n"
                             "data: [DONE]\n\n";
  for (std::size_t step = 1; step <= stream.size(); ++step) {
    event_stream_counter counter(4096);
    for (std::size_t i = 0; i < stream.size(); i += step) {
      counter.Add(stream.substr(i, step));
    }
    REQUIRE(counter.Tokens() == 2);
    REQUIRE(counter.Usage());
    REQUIRE(counter.Usage()->mPromptTokens == 7);
    REQUIRE(counter.Usage()->mCachedTokens == 4);
    REQUIRE(counter.Usage()->mGeneratedTokens == 2);
  }
}

TEST_CASE("an event without an end uses bounded memory")
{
  // Guards against unbounded memory use in the agent when an engine sends an endless line.
  event_stream_counter counter(64);
  for (int i = 0; i < 1000; ++i) {
    counter.Add(std::string(1000, 'x'));
  }
  counter.Add("\ndata: {}\n");
  CHECK(counter.Tokens() == 1);
}
