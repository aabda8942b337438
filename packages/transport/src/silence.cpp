#include "silence.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace carobtide {

namespace {

/** Bytes without an acknowledgement: room for three retransmissions. */
constexpr int kUnacknowledgedMs = 1500;
/** Probes of an idle connection: seconds before, between, and their number. */
constexpr int kProbeAfterS = 1;
constexpr int kProbeEveryS = 1;
constexpr int kProbes = 3;

void Set(int aSocket, int aLevel, int aOption, int aValue)
{
  ::setsockopt(aSocket, aLevel, aOption, &aValue, sizeof aValue);
}

} // namespace

void DetectSilence(int aSocket)
{
  Set(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs);
  Set(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterS);
  Set(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeEveryS);
  Set(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

} // namespace carobtide
