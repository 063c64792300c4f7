/// @file
/// Limits how often the same request is sent to peers.
#pragma once

#include <map>
#include <string>

#include "transport/interfaces.h"

namespace fawnwheel::coordination {

/// Remembers when a request was last sent for each key.
class RequestThrottle {
  public:
    /// Whether a request may be sent now; if so, records it as sent. True at most once per key and
    /// `minInterval`, during which the effect of the request appears in the records.
    [[nodiscard]] bool tryAcquire(const std::string& key, transport::SteadyTime now) {
        std::erase_if(requestedAt_,
                      [now](const auto& entry) { return now - entry.second >= minInterval; });
        return requestedAt_.emplace(key, now).second;
    }

  private:
    static constexpr std::chrono::seconds minInterval{2};

    std::map<std::string, transport::SteadyTime> requestedAt_;
};

}  // namespace fawnwheel::coordination
