/// @file
/// Dispatches messages from peers to the modules that handle them.
#pragma once

#include <string>

#include "protocol/peer_codec.h"

namespace fawnwheel::coordination {

class Autoscaler;
class CompletionNotifier;
class MachineLending;
class Membership;
class QuotaExchange;
class Rebalancer;
class WorkMigrator;

/// The modules that handle messages. All of them outlive the dispatcher.
struct PeerHandlers {
    Membership& membership;
    WorkMigrator& migrator;
    Autoscaler& autoscaler;
    MachineLending& lending;
    QuotaExchange& quotas;
    CompletionNotifier& completionNotifier;
    Rebalancer& rebalancer;
};

/// Decodes frames from peers and passes each message to its module.
class PeerDispatcher {
  public:
    explicit PeerDispatcher(const PeerHandlers& handlers) : handlers_(handlers) {}

    /// Dispatches one frame. A frame that cannot be decoded is logged and dropped.
    void dispatch(const std::string& frame);

  private:
    void handle(const std::string& peer, const protocol::PeerHeartbeat& message);
    void handle(const std::string& peer, const protocol::LeaderHeartbeat& message);
    void handle(const std::string& peer, const protocol::MigrationRequest& message);
    void handle(const std::string& peer, const protocol::MigrationResponse& message);
    void handle(const std::string& peer, const protocol::CapacityExhausted& message);
    void handle(const std::string& peer, const protocol::LoanRequest& message);
    void handle(const std::string& peer, const protocol::QuotaRequest& message);
    void handle(const std::string& peer, const protocol::JobCompleted& message);
    void handle(const std::string& peer, const protocol::DemandUpdate& message);

    PeerHandlers handlers_;
};

}  // namespace fawnwheel::coordination
