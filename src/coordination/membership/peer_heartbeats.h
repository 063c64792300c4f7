/// @file
/// Heartbeats between the nodes: they show which peers are alive and distribute cancellations.
#pragma once

#include <functional>
#include <map>

#include "coordination/membership/acquired_terms.h"
#include "coordination/membership/membership_observer.h"
#include "coordination/membership/worker_reachability.h"
#include "coordination/replication/replica_status.h"
#include "protocol/peer_codec.h"

namespace fawnwheel::coordination {

/// Sends this node's heartbeats and stores the state that peers report in theirs.
///
/// Each heartbeat also carries the cancellations that its receiver has not acknowledged, and states
/// whether the receiver then knows every cancellation that the sender has confirmed to a user.
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
    /// Handles a heartbeat that also lists the partitions that the peer leads.
    void onLeaderHeartbeat(const std::string& peer, const protocol::LeaderHeartbeat& message);

    /// Sends a heartbeat to every peer, with all cancellations that may be unknown to the peer.
    void broadcast();
    /// Sends new cancellations to the peers before the next periodic heartbeat, then calls
    /// `onBroadcast`, which may answer the user. A node that is asked about the job after that
    /// knows of the cancellation, even if it has read the job's records before the cancellation.
    void broadcastCancellations(std::function<void()> onBroadcast);

    [[nodiscard]] bool isAlive(const std::string& peer) const;
    /// How long the peer's heartbeats have arrived without a gap; none if the peer is unknown.
    [[nodiscard]] std::optional<Duration> aliveFor(const std::string& peer) const;
    /// Whether the peer can lead partitions: by its heartbeats it is alive, ready and reaches the
    /// state service, and its node record exists.
    [[nodiscard]] bool canLead(const std::string& peer) const;
    /// Whether any peer is alive, reaches the state service and is ready to serve users.
    [[nodiscard]] bool anyPeerServing() const;
    /// The revision up to which the peer has reported that it has the records; 0 if unknown.
    [[nodiscard]] std::uint64_t appliedRevisionOf(const std::string& peer) const;
    /// Whether this node knows every cancellation that any peer had confirmed to a user up to
    /// `maxAge` ago.
    [[nodiscard]] bool cancellationsKnown(Duration maxAge) const;
    /// Whether every peer has just reported that it cannot reach the state service, and none has
    /// reported that it leads the partition in a later term than `term`.
    [[nodiscard]] bool outageConfirmedByAll(PartitionId partition, std::uint64_t term) const;

  private:
    struct PeerState {
        SteadyTime lastHeartbeat{};
        SteadyTime aliveSince{};   // heartbeats have arrived without a gap since
        std::uint64_t sentAt = 0;  // of the last heartbeat by the peer's clock, to be echoed
        SteadyTime stateUnreachableAsOf{};  // the last report of an outage was sent after this
        bool stateReachable = true;
        bool ready = false;
        std::uint64_t incarnation = 0;            // of the peer's process
        std::uint64_t appliedRevision = 0;        // the peer has the records up to this revision
        std::uint64_t cancellationsReceived = 0;  // position in the log of that incarnation
        std::uint64_t cancellationsAcknowledged = 0;         // position in this node's log
        std::map<std::uint32_t, std::uint64_t> leaderTerms;  // by partition, as reported
        SteadyTime cancellationsKnownAsOf{};  // this node knows what the peer confirmed before
    };

    void applyCancellations(PeerState& peer, const protocol::PeerHeartbeat& status);
    [[nodiscard]] protocol::PeerHeartbeat makeHeartbeat(const PeerState& peer);
    void sendAllCancellations(const std::string& peer, std::uint64_t appliedRevision,
                              protocol::PeerHeartbeat status, bool withPartitions);
    void send(const std::string& peer, const protocol::PeerHeartbeat& status, bool withPartitions);
    /// Whether this node can lead partitions.
    [[nodiscard]] bool isReady() const;

    Context& context_;
    const AcquiredTerms& acquiredTerms_;
    const ReplicaStatus& replica_;
    const WorkerReachability& reachability_;
    MembershipObserver& observer_;
    std::uint64_t incarnation_;                              // of this process
    std::vector<std::function<void()>> broadcastCallbacks_;  // called after the next broadcast
    std::uint64_t broadcastPosition_ = 0;  // end of the cancellation log at the last broadcast
    std::map<std::string, PeerState> peers_;
};

}  // namespace fawnwheel::coordination
