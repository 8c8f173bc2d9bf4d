#include "turmeric/http/listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QTimer>
#include <cerrno>
#include <chrono>
#include <cstring>

#include "turmeric/utils/decision_log.h"

namespace turmeric::http {

namespace {

/** Connections that may wait to be accepted; many clients may reconnect at the
 * same time. */
constexpr int kBacklog = 512;
/** Connections accepted in one iteration of the event loop. Those that wait
 * longer are not seen by the callback that decides which to take. */
constexpr int kMaxAcceptsPerIteration = 256;
/** Pause after which connections are accepted again when no descriptors were
 * left: the notifier would fire without end. */
constexpr std::chrono::milliseconds kDescriptorPause{50};

/** A local address in the form of the system. */
struct BoundAddress {
  sockaddr_storage storage{};
  socklen_t size = 0;  ///< 0: the text is no address.
};

BoundAddress ToBoundAddress(const Endpoint& address) {
  BoundAddress bound;
  auto& v4 = reinterpret_cast<sockaddr_in&>(bound.storage);
  auto& v6 = reinterpret_cast<sockaddr_in6&>(bound.storage);
  if (::inet_pton(AF_INET, address.ip.c_str(), &v4.sin_addr) == 1) {
    v4.sin_family = AF_INET;
    v4.sin_port = htons(address.port);
    bound.size = sizeof(v4);
  } else if (::inet_pton(AF_INET6, address.ip.c_str(), &v6.sin6_addr) == 1) {
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(address.port);
    bound.size = sizeof(v6);
  }
  return bound;
}

void Reset(int fd) {
  const linger reset{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  ::close(fd);
}

}  // namespace

Listener::Listener(std::function<void(int fd)> on_accept)
    : on_accept_(std::move(on_accept)) {}

Listener::~Listener() { Close(); }

utils::Result<void> Listener::Listen(const Endpoint& address) {
  const BoundAddress bound = ToBoundAddress(address);
  fd_ = ::socket(bound.storage.ss_family,
                 SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const bool ok = bound.size > 0 &&
                  ::bind(fd_, reinterpret_cast<const sockaddr*>(&bound.storage),
                         bound.size) == 0 &&
                  ::listen(fd_, kBacklog) == 0;
  if (!ok) {
    const std::string why = std::strerror(errno);
    Close();
    return utils::Fail(utils::Errc::kIniInvalid,
                       "cannot listen on " + address.ip + ":" +
                           std::to_string(address.port) + ": " + why);
  }
  notifier_ = std::make_unique<QSocketNotifier>(fd_, QSocketNotifier::Read);
  connect(notifier_.get(), &QSocketNotifier::activated, this,
          [this] { Accept(); });
  return boost::outcome_v2::success();
}

uint16_t Listener::port() const {
  sockaddr_storage bound{};
  socklen_t size = sizeof(bound);
  if (fd_ < 0 ||
      ::getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size) != 0) {
    return 0;
  }
  // Both families have the port at the same place.
  return ntohs(reinterpret_cast<const sockaddr_in&>(bound).sin_port);
}

void Listener::Accept() {
  for (int i = 0; i < kMaxAcceptsPerIteration && fd_ >= 0; ++i) {
    const int fd =
        ::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EMFILE || errno == ENFILE) PauseAccepting();
      return;
    }
    if (takes_ && !takes_()) {
      Reset(fd);
      continue;
    }
    on_accept_(fd);
  }
}

void Listener::PauseAccepting() {
  utils::DecisionLog("out_of_descriptors").Add("port", port());
  notifier_->setEnabled(false);
  QTimer::singleShot(kDescriptorPause, this, [this] {
    if (notifier_) notifier_->setEnabled(true);
  });
}

void Listener::Close() {
  if (notifier_) notifier_->setEnabled(false);
  if (notifier_) notifier_.release()->deleteLater();
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

}  // namespace turmeric::http
