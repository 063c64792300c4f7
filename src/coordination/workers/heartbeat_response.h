/// @file
/// The answer to a worker's heartbeat.
#pragma once

#include <string>

namespace fawnwheel::coordination {

/// HTTP status codes of answers to heartbeats.
enum class HeartbeatStatus : int {
    ok = 200,           // with commands
    misdirected = 421,  // with the node to which the worker shall go
    unavailable = 503,  // proves nothing to the worker, whose lease goes on running out
};

/// Status and body of the HTTP response.
struct HeartbeatResponse {
    HeartbeatStatus status = HeartbeatStatus::unavailable;
    std::string body;

    [[nodiscard]] int httpStatus() const { return static_cast<int>(status); }
};

}  // namespace fawnwheel::coordination
