#include "currantstack/tcp_progress.h"

#include <algorithm>
#include <linux/sockios.h>
#include <linux/tcp.h> // glibc's tcp_info has no byte counts
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace currantstack::detail
{

auto tcpProgress(int descriptor) -> TcpProgress
{
    tcp_info info{};
    socklen_t length = sizeof info;
    TcpProgress progress;
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) == 0) {
        progress.received = info.tcpi_bytes_received;
        progress.acknowledged = info.tcpi_bytes_acked;
    }
    int unread = 0;
    if (ioctl(descriptor, SIOCINQ, &unread) == 0) {
        progress.unread = static_cast<std::uint64_t>(std::max(0, unread));
    }
    int unacknowledged = 0;
    if (ioctl(descriptor, SIOCOUTQ, &unacknowledged) == 0) {
        progress.unacknowledged = static_cast<std::uint64_t>(std::max(0, unacknowledged));
    }
    return progress;
}

auto waitingConnections(int listener) -> unsigned
{
    tcp_info info{};
    socklen_t length = sizeof info;
    return getsockopt(listener, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 ? info.tcpi_unacked : 0;
}

} // namespace currantstack::detail
