// Whether workers can reach this controller.
//
// A controller may keep its lease, its peers and its users while the network between it and all
// workers is down. Its partition would then be renewed by nobody and every task there would be
// lost. The controller notices this by the silence of its workers, makes sure by inspecting some of
// them itself, and then gives its partitions to peers (`Membership::checkReachability`).
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "coordination/context.h"

namespace fawnwheel::coordination {

class WorkerReachability {
  public:
    explicit WorkerReachability(Context& context)
        : context_(context), lastContact_(context.now()) {}

    // A heartbeat has arrived, from any worker.
    void onHeartbeat() { recordContact(); }
    // Partitions have come to this process: their workers need time to find it.
    void expectHeartbeats() { lastContact_ = std::max(lastContact_, context_.now()); }
    // To be called periodically, with the partitions that this process acts for.
    void checkReachability(const std::vector<std::uint32_t>& partitions);

    // No worker reaches this controller, nor is reached by it.
    [[nodiscard]] bool isUnreachable() const { return unreachable_; }
    // Workers have reached it for long enough to own machines.
    [[nodiscard]] bool isStable() const;

    // `isUnreachable` has changed.
    std::function<void()> onChange = [] {};

  private:
    void recordContact();
    void setUnreachable(bool isUnreachable);
    // How long all workers of the partitions may be silent before some of them are inspected; none:
    // no worker is expected to heartbeat.
    [[nodiscard]] std::optional<Duration> longestSilence(
        const std::vector<std::uint32_t>& partitions);
    // Addresses of machines of these partitions, in random order.
    [[nodiscard]] std::vector<std::string> addressesOf(
        const std::vector<std::uint32_t>& partitions);
    void inspect(const std::vector<std::string>& addresses);
    void finishRound();

    Context& context_;
    SteadyTime lastContact_;  // the last sign of any worker
    SteadyTime unreachableSince_{};
    std::optional<SteadyTime> reachableSince_;
    bool unreachable_ = false;
    std::size_t open_ = 0;   // inspections without an outcome
    bool answered_ = false;  // one of the present round
    int silentRounds_ = 0;
};

}  // namespace fawnwheel::coordination
