#include <bronzering/fakes/fake_http_server.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>

namespace bronzering {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxConnections = 400;
constexpr std::uint64_t kMaxBodyBytes = 64UL * 1024 * 1024;

auto ParseQuery(std::string_view aText) -> std::map<std::string, std::string>
{
  std::map<std::string, std::string> query;
  while (!aText.empty()) {
    const auto item = aText.substr(0, aText.find('&'));
    const auto equals = std::min(item.find('='), item.size());
    query[std::string(item.substr(0, equals))] =
      std::string(item.substr(std::min(equals + 1, item.size())));
    aText.remove_prefix(std::min(item.size() + 1, aText.size()));
  }
  return query;
}

} // namespace

auto fake_request::Header(std::string_view aName) const -> std::string
{
  for (const auto& field : mHeaders) {
    if (boost::beast::iequals(field.mName, aName)) {
      return field.mValue;
    }
  }
  return {};
}

auto fake_request::Number(const std::string& aName, std::uint64_t aDefault) const -> std::uint64_t
{
  const auto found = mQuery.find(aName);
  if (found == mQuery.end()) {
    return aDefault;
  }
  std::uint64_t value = 0;
  const auto* end = found->second.data() + found->second.size();
  const auto parsed = std::from_chars(found->second.data(), end, value);
  return parsed.ec == std::errc() && parsed.ptr == end ? value : aDefault;
}

struct fake_response_writer::state
{
  explicit state(tcp::socket& aSocket)
    : mSocket(aSocket)
  {
  }

  auto WriteAll(std::string_view aBytes) -> bool
  {
    error_code error;
    asio::write(mSocket, asio::buffer(aBytes), error);
    mIsOpen = mIsOpen && !error;
    return mIsOpen;
  }

  tcp::socket& mSocket;
  bool mIsOpen = true;
};

fake_response_writer::fake_response_writer(state& aState)
  : mState(aState)
{
}

auto fake_response_writer::Send(std::uint32_t aStatus,
                                std::string_view aBody,
                                std::string_view aType,
                                const std::vector<header_field>& aHeaders) -> bool
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " Answer\r\n";
  for (const auto& field : aHeaders) {
    text += field.mName + ": " + field.mValue + "\r\n";
  }
  text.append("Content-Type: ").append(aType).append("\r\n");
  if (aStatus != 304) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  text += "\r\n";
  text += aStatus == 304 ? std::string_view() : aBody;
  return mState.WriteAll(text);
}

auto fake_response_writer::Begin(std::uint32_t aStatus, std::string_view aType) -> bool
{
  return mState.WriteAll("HTTP/1.1 " + std::to_string(aStatus) + " Answer\r\nContent-Type: " +
                         std::string(aType) + "\r\nTransfer-Encoding: chunked\r\n\r\n");
}

auto fake_response_writer::Write(std::string_view aBytes) -> bool
{
  if (aBytes.empty()) {
    return mState.mIsOpen;
  }
  std::array<char, 16> size = {};
  const auto end = std::to_chars(size.data(), size.data() + size.size(), aBytes.size(), 16).ptr;
  return mState.WriteAll(
    std::string(size.data(), end).append("\r\n").append(aBytes).append("\r\n"));
}

auto fake_response_writer::End() -> bool
{
  return mState.WriteAll("0\r\n\r\n");
}

auto fake_response_writer::Drop() -> void
{
  mState.mIsOpen = false;
}

auto fake_response_writer::Stall() -> void
{
  error_code error;
  std::array<char, 256> discarded = {};
  while (!error) {
    mState.mSocket.read_some(asio::buffer(discarded), error);
  }
  mState.mIsOpen = false;
}

struct fake_http_server::state
{
  explicit state(handler aHandler)
    : mHandler(std::move(aHandler))
    , mAcceptor(mContext)
  {
  }

  auto Accept() -> void;
  auto Serve(tcp::socket aSocket) -> void;
  auto ServeRequest(tcp::socket& aSocket, boost::beast::flat_buffer& aInput) -> bool;

  handler mHandler;
  asio::io_context mContext;
  tcp::acceptor mAcceptor;
  std::thread mThread;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::set<int> mSockets;
  bool mIsStopped = false;
};

auto fake_http_server::state::Accept() -> void
{
  error_code error;
  while (!error) {
    tcp::socket socket(mContext);
    mAcceptor.accept(socket, error);
    const auto lock = std::lock_guard(mMutex);
    if (!error && !mIsStopped && mSockets.size() < kMaxConnections) {
      mSockets.insert(socket.native_handle());
      std::thread([this, moved = std::move(socket)]() mutable {
        Serve(std::move(moved));
      }).detach();
    }
  }
}

auto fake_http_server::state::Serve(tcp::socket aSocket) -> void
{
  error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  boost::beast::flat_buffer input;
  while (ServeRequest(aSocket, input)) {
  }
  // Closes the descriptor under the lock, so that the destructor cannot shut down another
  // connection that reuses its number.
  const auto lock = std::lock_guard(mMutex);
  mSockets.erase(aSocket.native_handle());
  aSocket.close(ignored);
  mChanged.notify_all();
}

auto fake_http_server::state::ServeRequest(tcp::socket& aSocket, boost::beast::flat_buffer& aInput)
  -> bool
{
  http::request_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  error_code error;
  http::read(aSocket, aInput, parser, error);
  if (error) {
    return false;
  }

  auto& message = parser.get();
  fake_request request;
  request.mMethod = std::string(message.method_string());
  const std::string_view target = message.target();
  const auto question = std::min(target.find('?'), target.size());
  request.mPath = std::string(target.substr(0, question));
  request.mQuery = ParseQuery(target.substr(std::min(question + 1, target.size())));
  for (const auto& field : message) {
    request.mHeaders.push_back({ std::string(field.name_string()), std::string(field.value()) });
  }
  request.mBody = std::move(message.body());

  fake_response_writer::state writerState(aSocket);
  fake_response_writer answer(writerState);
  mHandler(request, answer);
  return writerState.mIsOpen && message.keep_alive();
}

fake_http_server::fake_http_server(std::uint16_t aPort, handler aHandler)
  : mState(std::make_unique<state>(std::move(aHandler)))
{
  const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), aPort);
  mState->mAcceptor.open(endpoint.protocol());
  mState->mAcceptor.set_option(tcp::acceptor::reuse_address(true));
  mState->mAcceptor.bind(endpoint);
  mState->mAcceptor.listen();
  mState->mThread = std::thread([state = mState.get()] { state->Accept(); });
}

fake_http_server::~fake_http_server()
{
  // Shutting down the sockets unblocks the threads that read from or write to them.
  {
    const auto lock = std::lock_guard(mState->mMutex);
    mState->mIsStopped = true;
    ::shutdown(mState->mAcceptor.native_handle(), SHUT_RDWR);
    for (const auto socket : mState->mSockets) {
      ::shutdown(socket, SHUT_RDWR);
    }
  }
  mState->mThread.join();
  auto lock = std::unique_lock(mState->mMutex);
  mState->mChanged.wait(lock, [&] { return mState->mSockets.empty(); });
}

auto fake_http_server::Port() const -> std::uint16_t
{
  return mState->mAcceptor.local_endpoint().port();
}

} // namespace bronzering
