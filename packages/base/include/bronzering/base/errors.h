#pragma once

#include <boost/leaf/result.hpp>

#include <string>

namespace bronzering {

/// Result of a fallible function; the error is one of the error structs of its package.
template<class T>
using outcome = boost::leaf::result<T>;

/// Input that violates its format, such as a frame, a document or a header.
struct malformed_input
{
  std::string mWhat;
};

/// A configured bound was exceeded.
struct limit_exceeded
{
  std::string mWhat;
};

/// A network or operating system operation failed.
struct io_failure
{
  std::string mWhat;
};

} // namespace bronzering
