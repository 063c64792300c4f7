/// @file
/// Limits how often peers are asked for the same thing.
#pragma once

#include <map>
#include <string>

#include "transport/interfaces.h"

namespace fawnwheel::coordination {

/// Remembers when each thing was last asked for.
class RequestThrottle {
  public:
    /// Whether a request may be sent now; if so, it counts as sent. True once in a pause, in which
    /// the answer shows in the records.
    [[nodiscard]] bool tryAcquire(const std::string& what, transport::SteadyTime now) {
        std::erase_if(requestedAt_,
                      [now](const auto& entry) { return now - entry.second >= pause; });
        return requestedAt_.emplace(what, now).second;
    }

  private:
    static constexpr std::chrono::seconds pause{2};

    std::map<std::string, transport::SteadyTime> requestedAt_;
};

}  // namespace fawnwheel::coordination
