/// @file
/// The response to a worker's heartbeat.
#pragma once

#include <string>

namespace fawnwheel::coordination {

/// HTTP status codes of heartbeat responses.
enum class HeartbeatStatus : int {
    ok = 200,           // the body holds commands
    misdirected = 421,  // the body names the node that the worker must report to
    unavailable = 503,  // does not renew the worker's lease
};

/// Status and body of the HTTP response.
struct HeartbeatResponse {
    HeartbeatStatus status = HeartbeatStatus::unavailable;
    std::string body;

    [[nodiscard]] int httpStatus() const { return static_cast<int>(status); }
};

}  // namespace fawnwheel::coordination
