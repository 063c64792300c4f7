/// @file
/// Whether workers can reach this controller.
///
/// A controller may keep its lease, its peers and its users while the network between it and all
/// workers is down. The leases of its partitions' workers would then be renewed by nobody and every
/// task there would be lost. The controller notices this by the silence of its workers, makes sure
/// by inspecting some of them itself, and then transfers its partitions to peers
/// (`Failover::reconcile`).
#pragma once

#include <string>
#include <vector>

#include "coordination/context.h"

namespace fawnwheel::coordination {

/// Told by `WorkerReachability` of changes.
class ReachabilityObserver {
  public:
    virtual ~ReachabilityObserver() = default;

    /// `WorkerReachability::isUnreachable` has changed.
    virtual void onReachabilityChanged() = 0;
};

/// Detects that no worker reaches this controller, and that they do again.
class WorkerReachability {
  public:
    WorkerReachability(Context& context, ReachabilityObserver& observer)
        : context_(context), observer_(observer), lastContact_(context.now()) {}

    /// A heartbeat has arrived, from any worker.
    void onHeartbeat() { recordContact(); }
    /// This process has acquired partitions: their workers need time to find it.
    void restartSilenceTimeout() { lastContact_ = std::max(lastContact_, context_.now()); }
    /// To be called periodically, with the partitions that this process leads.
    void checkReachability(const std::vector<std::uint32_t>& partitions);

    /// No worker reaches this controller, nor is reached by it.
    [[nodiscard]] bool isUnreachable() const { return unreachable_; }
    /// Workers have reached it for long enough that it may lead partitions.
    [[nodiscard]] bool isStable() const;

  private:
    void recordContact();
    void setUnreachable(bool unreachable);
    /// How long all workers of the partitions may be silent before some of them are inspected; none
    /// if no worker is expected to send heartbeats.
    [[nodiscard]] std::optional<Duration> maxSilence(const std::vector<std::uint32_t>& partitions);
    /// Addresses of machines of these partitions, in random order.
    [[nodiscard]] std::vector<std::string> addressesOf(
        const std::vector<std::uint32_t>& partitions);
    void inspect(const std::vector<std::string>& addresses);
    void finishInspection();

    Context& context_;
    ReachabilityObserver& observer_;
    SteadyTime lastContact_;  // the last sign of any worker
    SteadyTime unreachableSince_{};
    std::optional<SteadyTime> reachableSince_;
    bool unreachable_ = false;
    std::size_t pendingInspections_ = 0;
    bool anyAnswered_ = false;  // in the present round of inspections
    int silentRounds_ = 0;
};

}  // namespace fawnwheel::coordination
