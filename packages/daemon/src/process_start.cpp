#include <bronzering/daemon/process_start.h>

#include <bronzering/base/boot_clock.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <string>
#include <utility>

namespace bronzering {

auto ReadClocks() -> instant
{
  return { ReadBootClock(),
           std::chrono::time_point_cast<duration>(std::chrono::system_clock::now()) };
}

exclusive_port::exclusive_port(int aSocket)
  : mSocket(aSocket)
{
}

exclusive_port::exclusive_port(exclusive_port&& aOther) noexcept
  : mSocket(std::exchange(aOther.mSocket, -1))
{
}

exclusive_port::~exclusive_port()
{
  if (mSocket >= 0) {
    ::close(mSocket);
  }
}

auto exclusive_port::Acquire(std::uint16_t aPort) -> outcome<exclusive_port>
{
  // Without SO_REUSEADDR and SO_REUSEPORT, a second bind fails while this socket is open.
  auto port = exclusive_port(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  auto address = sockaddr_in();
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (port.mSocket < 0 ||
      ::bind(port.mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(port.mSocket, 1) != 0) {
    return boost::leaf::new_error(io_failure{
      "cannot hold port 127.0.0.1:" + std::to_string(aPort) + ": " + std::strerror(errno) });
  }
  return port;
}

} // namespace bronzering
