/// @file
/// Heartbeats between the nodes: which peers are alive, and the spreading of cancellations.
#pragma once

#include <functional>
#include <map>

#include "coordination/membership/acquired_terms.h"
#include "coordination/membership/membership_observer.h"
#include "coordination/membership/worker_reachability.h"
#include "coordination/replication/replica_status.h"
#include "protocol/peer_codec.h"

namespace fawnwheel::coordination {

/// Sends this node's heartbeats and keeps what the peers' heartbeats have said.
///
/// Each heartbeat also carries the cancellations that its receiver has not acknowledged. With it
/// the sender confirms that the receiver knows of all that the sender has told any user.
class PeerHeartbeats {
  public:
    PeerHeartbeats(Context& context, const AcquiredTerms& acquiredTerms,
                   const ReplicaStatus& replica, const WorkerReachability& reachability,
                   MembershipObserver& observer)
        : context_(context),
          acquiredTerms_(acquiredTerms),
          replica_(replica),
          reachability_(reachability),
          observer_(observer),
          incarnation_(std::max<std::uint64_t>(1, context.rng())) {}

    void onPeerHeartbeat(const std::string& peer, const protocol::PeerHeartbeat& status);
    /// A heartbeat with the partitions that the peer leads.
    void onLeaderHeartbeat(const std::string& peer, const protocol::LeaderHeartbeat& message);

    /// Sends a heartbeat to every peer, with all cancellations that the peer may not know.
    void broadcast();
    /// Sends new cancellations to the peers before the next periodic heartbeat, then calls `then`,
    /// which may answer the user. From then on whoever is asked about the job knows better than an
    /// answer of the state service that was given before.
    void broadcastCancellations(std::function<void()> then);

    [[nodiscard]] bool isAlive(const std::string& peer) const;
    /// How long the peer's heartbeats have arrived without a gap; none from a peer never heard.
    [[nodiscard]] std::optional<Duration> aliveFor(const std::string& peer) const;
    /// The peer could lead partitions, as far as it has told: it is alive and ready and reaches the
    /// state service, where its record stands.
    [[nodiscard]] bool canLead(const std::string& peer) const;
    /// Some peer is alive, reaches the state service and serves users.
    [[nodiscard]] bool anyPeerServing() const;
    /// The revision up to which the peer has told that it has the records; 0 if unknown.
    [[nodiscard]] std::uint64_t appliedRevisionOf(const std::string& peer) const;
    /// Of every peer, all cancellations that it told users of are known here as of `maxAge` ago.
    [[nodiscard]] bool cancellationsKnown(Duration maxAge) const;
    /// Every peer has just said that it cannot reach the state service, and none has said that it
    /// leads the partition in a later term than `term`.
    [[nodiscard]] bool outageConfirmedByAll(PartitionId partition, std::uint64_t term) const;

  private:
    struct PeerState {
        SteadyTime lastHeard{};
        SteadyTime aliveSince{};          // without a gap until `lastHeard`
        std::uint64_t sentAt = 0;         // by the peer's clock, to echo
        SteadyTime lostStateServiceAt{};  // it could not reach the state service after this
        bool stateReachable = true;
        bool ready = false;
        std::uint64_t incarnation = 0;            // of the peer
        std::uint64_t applied = 0;                // revision up to which it has the records
        std::uint64_t cancellationsReceived = 0;  // position in its incarnation's log
        std::uint64_t acknowledged = 0;           // position in this node's log, confirmed by it
        std::map<std::uint32_t, std::uint64_t> leadsInTerm;  // by partition, as it says
        SteadyTime cancellationsKnownAsOf{};  // all that it told users before this is known here
    };

    void applyCancellations(PeerState& peer, const protocol::PeerHeartbeat& status);
    [[nodiscard]] protocol::PeerHeartbeat makeHeartbeat(const PeerState& peer);
    void sendAllCancellations(const std::string& peer, std::uint64_t applied,
                              protocol::PeerHeartbeat status, bool withPartitions);
    void send(const std::string& peer, const protocol::PeerHeartbeat& status, bool withPartitions);
    /// This node could lead partitions.
    [[nodiscard]] bool isReady() const;

    Context& context_;
    const AcquiredTerms& acquiredTerms_;
    const ReplicaStatus& replica_;
    const WorkerReachability& reachability_;
    MembershipObserver& observer_;
    std::uint64_t incarnation_;                             // of this process
    std::vector<std::function<void()>> awaitingBroadcast_;  // called after the next broadcast
    std::uint64_t broadcastPosition_ = 0;                   // in the log of cancellations
    std::map<std::string, PeerState> peers_;
};

}  // namespace fawnwheel::coordination
