#include "turmeric/routing/route_table.h"

#include <algorithm>
#include <numeric>

namespace turmeric::routing {

namespace {

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

std::string_view WithoutQuery(std::string_view path) {
  return path.substr(0, path.find('?'));
}

}  // namespace

const Route* RouteTable::Match(std::string_view host,
                               std::string_view path) const {
  const std::string_view wanted = WithoutPort(host);
  const std::string_view bare = WithoutQuery(path);
  const Route* best = nullptr;
  for (const Route& route : routes) {
    if (route.host != wanted || !bare.starts_with(route.path_prefix)) continue;
    if (best == nullptr ||
        route.path_prefix.size() > best->path_prefix.size()) {
      best = &route;
    }
  }
  return best;
}

const ServiceSpec* RouteTable::FindService(const std::string& name) const {
  const auto it = services.find(name);
  return it == services.end() ? nullptr : &it->second;
}

const std::string& PickTarget(const std::vector<RouteTarget>& targets,
                              double draw) {
  const int total = std::accumulate(
      targets.begin(), targets.end(), 0,
      [](int sum, const RouteTarget& t) { return sum + t.weight; });
  double left = draw * total;
  for (const RouteTarget& target : targets) {
    left -= target.weight;
    if (left < 0) return target.service;
  }
  return targets.back().service;
}

}  // namespace turmeric::routing
