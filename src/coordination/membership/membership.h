// Who is alive, who owns which partition, and whether this process may still act as a leader.
//
// A node's record hangs on a lease with the state service. A partition's record names its leader
// and term; the tokens that its machines see begin with the term. A lapsed leader's partition goes
// to a peer with a higher term, and back when the partition's preferred leader has returned.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "coordination/context.h"
#include "protocol/peer_codec.h"

namespace fawnwheel::coordination {

class Membership {
  public:
    explicit Membership(Context& context)
        : context_(context), incarnation_(std::max<std::uint64_t>(1, context.rng())) {}

    void start();
    void onPeerHeartbeat(const std::string& peer, const protocol::PeerHeartbeat& status);
    void onLeaderHeartbeat(const std::string& peer, const protocol::LeaderHeartbeat& message);
    // Peers hear of new cancellations now, not with the next beat; `then` may tell the user. Who is
    // asked about the job from then on knows better than an answer of the state service that was
    // given before.
    void broadcastCancellations(std::function<void()> then);
    // The replica has changed or been read.
    void reconcile();
    // `workersUnreachable` has changed: peers hear of it before a partition changes hands.
    void onReachabilityChanged();

    // Our lease with the state service surely stands: nobody can have taken our partitions.
    [[nodiscard]] bool isLeaseValid() const;
    // The partition's workers may be answered: the lease stands, or every peer has just said that
    // it can't reach the state service either and that it has not taken the partition over before;
    // and no cancellation that somebody was told of may be unknown here for so long that a lease
    // renewed now could outlast its `cancel_s`.
    [[nodiscard]] bool canAnswerWorkers(std::uint32_t partition) const;
    // Taken by this process, and the cluster state holds all that preceded the acquisition.
    [[nodiscard]] bool isLeader(std::uint32_t partition);
    [[nodiscard]] std::vector<std::uint32_t> ledPartitions();
    [[nodiscard]] std::uint64_t term(std::uint32_t partition);
    // The least token for a partition's machines. The low bits are free to grow within a term.
    [[nodiscard]] std::uint64_t minFencingToken(std::uint32_t partition) {
        return term(partition) << fencingTokenBits;
    }
    static constexpr std::uint32_t fencingTokenBits = 16;
    [[nodiscard]] bool healthy() const;
    [[nodiscard]] bool isPeerAlive(const std::string& peer) const;
    // The revision up to which the peer has told us that it has the records.
    [[nodiscard]] std::uint64_t appliedBy(const std::string& peer) const;
    [[nodiscard]] bool joined() const { return joined_; }

    // How long after an acquisition the former leader may still have renewed a worker's lease.
    static constexpr std::chrono::milliseconds confirmationLasts{2000};

    std::function<bool()> synced = [] { return false; };
    // Whether this process has read the records in whole since it began.
    std::function<bool()> everSynced = [] { return false; };
    // The records known here hold all that was carried out before this.
    std::function<SteadyTime()> recordsCurrentAsOf = [] { return SteadyTime{}; };
    // Peers have told of cancellations unknown so far.
    std::function<void()> onCancellations = [] {};
    std::function<bool()> ready = [] { return false; };
    std::function<void(std::uint32_t partition)> onActive = [](std::uint32_t) {};
    // The partition was active here and is no longer ours in that term, or was not for a while:
    // what was concluded as its leader and is not recorded is void.
    std::function<void(std::uint32_t partition)> onLost = [](std::uint32_t) {};
    // Whether the cluster state lacks nothing that the watch has brought.
    std::function<bool()> recordsComplete = [] { return true; };
    // No worker reaches this process: its partitions are better off with a peer.
    std::function<bool()> workersUnreachable = [] { return false; };
    std::function<bool(std::uint32_t partition)> busy = [](std::uint32_t) { return false; };

  private:
    struct PeerState {
        SteadyTime lastHeard{};
        std::uint64_t sentAt = 0;         // theirs, to echo
        SteadyTime lostStateServiceAt{};  // they could not reach the state service after this
        bool reachable = true;
        bool ready = false;
        SteadyTime freshSince{};
        std::uint64_t incarnation = 0;            // theirs
        std::uint64_t applied = 0;                // revision up to which they have the records
        std::uint64_t cancellationsReceived = 0;  // of this incarnation's cancellations
        std::uint64_t acknowledged = 0;           // of ours by them
        std::map<std::uint64_t, std::uint64_t>
            owned;                 // partitions that it says it owns, with terms
        SteadyTime vouchedAsOf{};  // all that they told users before this is known here
    };

    void broadcastPeriodically();
    void broadcastHeartbeat();
    void sendTo(const std::string& peer, const protocol::PeerHeartbeat& status,
                bool withPartitions);
    [[nodiscard]] bool knowsCancellations() const;
    void applyCancellations(PeerState& peer, const protocol::PeerHeartbeat& status);
    void grantLease();
    void writeNode(std::uint64_t lease, SteadyTime sent);
    void refreshNodeVersion(std::uint64_t lease, SteadyTime sent);
    void renew();
    void rejoinLater();
    void recordFeatureGates();
    void acquire(std::uint32_t partition);
    void reconcileLed(std::uint32_t partition);
    void reconcileUnled(std::uint32_t partition);
    // Gives the partition to this node, which takes it with a higher term.
    void transferLeadership(std::uint32_t partition, const std::string& node);
    // The peer that serves a partition's workers best in our place; none: nobody could.
    [[nodiscard]] std::optional<std::string> successorFor(std::uint32_t partition);
    // May own partitions, as far as it has told.
    [[nodiscard]] bool peerCanLead(const std::string& peer) const;
    // The records name us as the partition's leader, in the term in which this process took it.
    [[nodiscard]] bool ledHere(std::uint32_t partition);
    void dropLostPartitions();
    // The partition is ours and the cluster state holds all that preceded the acquisition.
    [[nodiscard]] bool settled(std::uint32_t partition);

    Context& context_;
    std::uint64_t incarnation_;
    std::vector<std::function<void()>> awaitingBroadcast_;  // what waits for it
    std::uint64_t broadcastPosition_ = 0;                   // position in the log of cancellations
    std::uint64_t leaseId_ = 0;
    bool joined_ = false;
    bool featureGatesLogged_ = false;
    SteadyTime leaseUntil_{};
    std::map<std::uint32_t, std::uint64_t> acquiredTerms_;  // partition -> term, by this process
    std::map<std::uint32_t, std::uint64_t> announced_;
    std::map<std::uint32_t, SteadyTime> leaderlessSince_;
    std::set<std::uint32_t> acquiring_;
    struct Failure {
        std::uint64_t revision = 0;  // the service's records had reached when it refused
        SteadyTime retry{};
    };
    std::map<std::uint32_t, Failure> failedAcquisitions_;
    std::map<std::string, PeerState> peers_;
};

}  // namespace fawnwheel::coordination
