/// @file
/// Whether workers can reach this controller.
///
/// The network between a controller and all workers may fail while the controller still reaches the
/// state service, its peers and its users. The controller then keeps its node lease, so that no
/// peer acquires its partitions, but nobody renews the leases of their workers and every task there
/// would be lost. The controller detects this by the silence of its workers, confirms it by
/// inspecting some of them, and then transfers its partitions to peers (`Failover::reconcile`).
#pragma once

#include <string>
#include <vector>

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// Notified by `WorkerReachability` of changes.
class ReachabilityObserver {
  public:
    virtual ~ReachabilityObserver() = default;

    /// `WorkerReachability::isUnreachable` has changed.
    virtual void onReachabilityChanged() = 0;
};

/// Detects when no worker can reach this controller, and when workers can reach it again.
class WorkerReachability {
  public:
    WorkerReachability(Context& context, ReachabilityObserver& observer)
        : context_(context), observer_(observer), lastContact_(context.now()) {}

    /// Must be called for every heartbeat, from any worker.
    void onHeartbeat() { recordContact(); }
    /// Must be called when this process has acquired partitions: their workers need time to find
    /// their new leader.
    void restartSilenceTimeout() { lastContact_ = std::max(lastContact_, context_.now()); }
    /// Must be called periodically, with the partitions that this process leads. Inspects some
    /// workers if all have been silent for too long.
    void checkReachability(const std::vector<std::uint32_t>& partitions);

    /// Whether no worker can reach this controller or be reached by it.
    [[nodiscard]] bool isUnreachable() const { return unreachable_; }
    /// Whether workers have been able to reach this controller for long enough that it may lead
    /// partitions.
    [[nodiscard]] bool isStable() const;

  private:
    void recordContact();
    void setUnreachable(bool unreachable);
    /// How long all workers of the partitions may be silent before some of them are inspected; none
    /// if no worker is expected to send heartbeats.
    [[nodiscard]] std::optional<Duration> maxSilence(const std::vector<std::uint32_t>& partitions);
    /// Addresses of machines of these partitions, in random order.
    [[nodiscard]] std::vector<std::string> machineAddresses(
        const std::vector<std::uint32_t>& partitions);
    void inspect(const std::vector<std::string>& addresses);
    void finishInspection();

    Context& context_;
    ReachabilityObserver& observer_;
    SteadyTime lastContact_;  // with any worker, or the restart of the silence timeout
    SteadyTime unreachableSince_{};
    std::optional<SteadyTime> reachableSince_;
    bool unreachable_ = false;
    std::size_t pendingInspections_ = 0;
    bool anyResponse_ = false;  // in the present round of inspections
    int silentRounds_ = 0;
};

}  // namespace fawnwheel::coordination
