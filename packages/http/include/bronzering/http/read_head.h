#pragma once

#include <bronzering/http/response_head.h>

#include <boost/asio/compose.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <utility>

namespace bronzering {

/// Parses the next bytes of a head and removes them from aInput. Returns need_more if the head is
/// not whole yet. Unlike the parser alone, rejects folded fields, of which the second line is the
/// rest of a value to one reader and a field to another. Precondition: the parser's header is not
/// done. Thread-safe for different parsers and buffers.
[[nodiscard]] auto ParseHead(boost::beast::http::basic_parser<false>& aParser,
                             boost::beast::flat_buffer& aInput) -> boost::system::error_code;

/// The state of AsyncReadHead.
template<class Stream, class Parser>
class read_head_operation
{
public:
  read_head_operation(Stream& aStream, boost::beast::flat_buffer& aInput, Parser& aParser)
    : mStream(aStream)
    , mInput(aInput)
    , mParser(aParser)
  {
  }

  template<class Self>
  auto operator()(Self& aSelf, boost::system::error_code aError = {}, std::size_t aCount = 0)
    -> void
  {
    if (mIsDone) {
      aSelf.complete(mResult);
      return;
    }
    mInput.commit(aCount);
    mResult = Advance(aError);
    if (mResult != boost::beast::http::error::need_more) {
      mIsDone = true;
      if (mHasRead) {
        aSelf.complete(mResult);
      } else {
        // Completion handlers are not called from within the initiating function.
        boost::asio::post(mStream.get_executor(), std::move(aSelf));
      }
      return;
    }
    mHasRead = true;
    mStream.async_read_some(mInput.prepare(boost::beast::read_size(mInput, kMaxReadBytes)),
                            std::move(aSelf));
  }

private:
  static constexpr auto kMaxReadBytes = std::size_t{ 64 } * 1024;

  /// The result of the operation; need_more if it goes on.
  auto Advance(boost::system::error_code aError) -> boost::system::error_code
  {
    namespace http = boost::beast::http;
    if (aError == boost::asio::error::eof) {
      return mParser.got_some() ? http::error::partial_message : http::error::end_of_stream;
    }
    if (aError) {
      return aError;
    }
    const auto error = ParseHead(mParser, mInput);
    if (error) {
      return error == http::error::need_more && boost::beast::read_size(mInput, 1) == 0
               ? http::error::buffer_overflow
               : error;
    }
    return CheckHead(mParser.get().base());
  }

  Stream& mStream;
  boost::beast::flat_buffer& mInput;
  Parser& mParser;
  boost::system::error_code mResult;
  bool mHasRead = false;
  bool mIsDone = false;
};

/// Reads the head of a response, interim or final, and checks it with ParseHead and CheckHead. All
/// readers of responses use it, so that they agree on what a valid head is. The handler takes an
/// error_code, of Beast's error category if the response is broken. Bytes behind the head stay in
/// aInput. Precondition: aParser is new; it, aStream and aInput outlive the operation. To be called
/// on the thread or strand of the stream.
template<class Stream, class Parser, class CompletionToken>
auto AsyncReadHead(Stream& aStream,
                   boost::beast::flat_buffer& aInput,
                   Parser& aParser,
                   CompletionToken&& aToken)
{
  return boost::asio::async_compose<CompletionToken, void(boost::system::error_code)>(
    read_head_operation<Stream, Parser>(aStream, aInput, aParser), aToken, aStream);
}

} // namespace bronzering
