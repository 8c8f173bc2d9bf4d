#include "fleet.h"

#include <gflags/gflags.h>
#include <signal.h>

#include <QEventLoop>
#include <QTimer>
#include <sstream>

#include "turmeric/gateway/embedded_platform.h"
#include "turmeric/gateway/store_service.h"
#include "turmeric/store/memory_store.h"

DEFINE_string(targets, "",
              "fleet: ip:port of each entry instance, comma-separated");
DEFINE_string(pids, "",
              "fleet: process ids of the instances, in the same order");
DEFINE_int32(platform_port, 7000, "fleet: port of the platform stand-in");

namespace turmeric::ctl {

namespace {

std::vector<std::string> Split(const std::string& list) {
  std::vector<std::string> parts;
  std::istringstream in(list);
  for (std::string part; std::getline(in, part, ',');) parts.push_back(part);
  return parts;
}

}  // namespace

bool Fleet::Start() {
  memory_ = std::make_shared<store::MemoryStore>();
  kernel_.Register(std::make_unique<gateway::StoreService>(memory_));
  embedded_ = static_cast<gateway::EmbeddedPlatform*>(
      kernel_.Register(std::make_unique<gateway::EmbeddedPlatform>(0)));
  platform_ = std::make_unique<standins::PlatformStandin>(memory_);
  if (!kernel_.StartAll()) return false;
  if (platform_->Listen(static_cast<uint16_t>(FLAGS_platform_port)) == 0) {
    return false;
  }
  for (const std::string& t : Split(FLAGS_targets)) {
    urls_.push_back("http://" + QString::fromStdString(t));
  }
  for (const std::string& p : Split(FLAGS_pids)) pids_.push_back(std::stoi(p));
  constexpr size_t kFewest = 4;
  return urls_.size() >= kFewest && pids_.size() == urls_.size();
}

void Fleet::Signal(size_t instance, int signal) {
  ::kill(pids_[instance], signal);
}

void Fleet::SetStoreFaults(const standins::PlatformFaults& faults) {
  platform_->SetFaults(faults);
}

void RunFor(int ms) {
  QEventLoop loop;
  QTimer::singleShot(ms, &loop, &QEventLoop::quit);
  loop.exec();
}

}  // namespace turmeric::ctl
