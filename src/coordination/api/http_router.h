/// @file
/// Routes HTTP requests of users, workers and health checks.
#pragma once

#include <string>

#include "coordination/api/admission.h"
#include "coordination/membership/membership.h"
#include "coordination/membership/worker_reachability.h"
#include "coordination/replication/replica.h"
#include "coordination/workers/heartbeat_handler.h"

namespace fawnwheel::coordination {

/// Maps method and path to the module that handles the request. Unknown paths get 404, known paths
/// with another method 405. Holds references only; all modules outlive the router.
class HttpRouter {
  public:
    HttpRouter(const Replica& replica, const Membership& membership,
               WorkerReachability& reachability, HeartbeatHandler& heartbeats, Admission& admission)
        : replica_(replica),
          membership_(membership),
          reachability_(reachability),
          heartbeats_(heartbeats),
          admission_(admission) {}

    /// Calls `reply` exactly once, now or later.
    void route(const transport::HttpRequest& request, transport::HttpReply reply);

  private:
    void routeJob(const transport::HttpRequest& request, std::string id,
                  transport::HttpReply reply);
    void handleHeartbeat(const std::string& body, const transport::HttpReply& reply);

    const Replica& replica_;
    const Membership& membership_;
    WorkerReachability& reachability_;
    HeartbeatHandler& heartbeats_;
    Admission& admission_;
};

}  // namespace fawnwheel::coordination
