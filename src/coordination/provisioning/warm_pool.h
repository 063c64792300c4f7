/// @file
/// Decides which idle machines are kept up, and for how long.
#pragma once

#include "coordination/scheduling/queue_order.h"

namespace fawnwheel::coordination {

/// Keeps machines up for job classes that can't wait for a boot, and for what teams are guaranteed.
class WarmPool {
  public:
    WarmPool(Context& context, QueueOrder& queueOrder)
        : context_(context), queueOrder_(queueOrder) {}

    /// Counts, by class, the jobs whose objectives leave no time to boot a machine and fetch the
    /// image. Each job counts once.
    void recordClasses(ClusterState& clusterState);
    /// Compares the teams' guarantees with the machines that are up.
    void recordGuaranteed(const ClusterState& clusterState);
    /// How long the machine may be idle before it is given back.
    [[nodiscard]] Duration idleLimit(const Machine& machine, const MachineType& type) const;
    /// Whether it may be worth consolidating this partition's machines: nothing waits, and none of
    /// them would have to be kept up idle.
    [[nodiscard]] bool mayConsolidate(PartitionId partition);

  private:
    struct ClassDemand {
        int jobs = 0;
        int urgentJobs = 0;           // can't wait for a boot
        std::set<std::string> types;  // that could run them
        SteadyTime lastSeen{};
    };

    // The least time that the job's objectives leave beside its run; none: it has no objective.
    [[nodiscard]] std::optional<Seconds> slackOf(const protocol::JobSpec& spec) const;
    [[nodiscard]] bool isWithinGuarantee(const Machine& machine) const;
    // Whether the machine suits a class that can't wait for a boot.
    [[nodiscard]] bool isInWarmPool(const Machine& machine) const;

    Context& context_;
    QueueOrder& queueOrder_;
    Resources guaranteed_;  // to all teams
    double upGpus_ = 0;
    double upCpus_ = 0;                               // of machines without GPUs
    std::map<std::string, ClassDemand> classDemand_;  // by class
};

}  // namespace fawnwheel::coordination
