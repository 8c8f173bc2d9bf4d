#pragma once

#include <string>
#include <string_view>

namespace turmeric::peer {

/** @param identity of a process of an instance, "name#start".
 * @return the name of the instance. */
inline std::string InstanceName(std::string_view identity) {
  return std::string(identity.substr(0, identity.rfind('#')));
}

}  // namespace turmeric::peer
