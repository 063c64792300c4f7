#include "coordination/peer_dispatcher.h"

#include <spdlog/spdlog.h>

#include "coordination/membership/membership.h"
#include "coordination/migration/machine_lending.h"
#include "coordination/migration/rebalancer.h"
#include "coordination/migration/work_migrator.h"
#include "coordination/provisioning/autoscaler.h"
#include "coordination/scheduling/completion_notifier.h"
#include "coordination/scheduling/quota_exchange.h"

namespace fawnwheel::coordination {

void PeerDispatcher::dispatch(const std::string& frame) {
    const auto envelope = protocol::decodePeer(frame);
    if (!envelope) {
        spdlog::debug("peer: frame_dropped bytes={}", frame.size());
        return;
    }
    std::visit([&](const auto& message) { handle(envelope->sender, message); }, envelope->message);
}

void PeerDispatcher::handle(const std::string& peer, const protocol::PeerHeartbeat& message) {
    handlers_.membership.onPeerHeartbeat(peer, message);
}

void PeerDispatcher::handle(const std::string& peer, const protocol::LeaderHeartbeat& message) {
    handlers_.membership.onLeaderHeartbeat(peer, message);
}

void PeerDispatcher::handle(const std::string& peer, const protocol::MigrationRequest& message) {
    handlers_.migrator.onMigrationRequest(peer, message);
}

void PeerDispatcher::handle(const std::string& /*peer*/,
                            const protocol::MigrationResponse& message) {
    handlers_.migrator.onMigrationResponse(message);
}

void PeerDispatcher::handle(const std::string& /*peer*/,
                            const protocol::CapacityExhausted& message) {
    handlers_.autoscaler.onCapacityExhausted(message);
}

void PeerDispatcher::handle(const std::string& peer, const protocol::LoanRequest& message) {
    handlers_.lending.onLoanRequest(peer, message);
}

void PeerDispatcher::handle(const std::string& peer, const protocol::QuotaRequest& message) {
    handlers_.quotas.onQuotaRequest(peer, message);
}

void PeerDispatcher::handle(const std::string& /*peer*/, const protocol::JobCompleted& message) {
    handlers_.completionNotifier.onJobCompleted(message);
}

void PeerDispatcher::handle(const std::string& peer, const protocol::DemandUpdate& message) {
    handlers_.rebalancer.onDemand(peer, message);
}

}  // namespace fawnwheel::coordination
