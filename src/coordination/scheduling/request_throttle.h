// How often peers are asked for the same thing.
#pragma once

#include <map>
#include <string>

#include "transport/interfaces.h"

namespace fawnwheel::coordination {

class RequestThrottle {
  public:
    // True once in a pause, for which the answer shows in the records.
    bool due(const std::string& what, transport::SteadyTime now) {
        std::erase_if(asked_, [now](const auto& entry) { return now - entry.second >= pause; });
        return asked_.emplace(what, now).second;
    }

  private:
    static constexpr std::chrono::seconds pause{2};

    std::map<std::string, transport::SteadyTime> asked_;
};

}  // namespace fawnwheel::coordination
