#pragma once

#include <catch2/catch.hpp>

#include <unistd.h>

#include <array>
#include <cstdio>
#include <string>
#include <thread>

namespace bronzering {

/// Redirects standard output to a pipe that is not read until Drain is called.
class captured_output
{
public:
  captured_output()
  {
    std::fflush(stdout);
    mSavedStdout = ::dup(STDOUT_FILENO);
    REQUIRE(::pipe(mPipe.data()) == 0);
    ::dup2(mPipe[1], STDOUT_FILENO);
    ::close(mPipe[1]);
  }
  ~captured_output() { ::close(mSavedStdout); }
  captured_output(const captured_output&) = delete;
  auto operator=(const captured_output&) -> captured_output& = delete;

  /// Calls aFinish, restores standard output, and returns everything written to the pipe.
  template<class Finish>
  auto Drain(Finish aFinish) -> std::string
  {
    auto text = std::string();
    auto reader = std::thread([this, &text] {
      auto buffer = std::array<char, 4096>();
      for (auto count = ::read(mPipe[0], buffer.data(), buffer.size()); count > 0;
           count = ::read(mPipe[0], buffer.data(), buffer.size())) {
        text.append(buffer.data(), static_cast<std::size_t>(count));
      }
    });
    aFinish();
    std::fflush(stdout);
    ::dup2(mSavedStdout, STDOUT_FILENO);
    reader.join();
    ::close(mPipe[0]);
    return text;
  }

private:
  int mSavedStdout = -1;
  std::array<int, 2> mPipe = {};
};

} // namespace bronzering
