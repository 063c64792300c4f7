/// @file
/// Decides how long idle machines are kept.
#pragma once

#include "coordination/scheduling/queue_order.h"

namespace fawnwheel::coordination {

/// Keeps idle machines for job classes that can't wait for a boot and for the teams' guaranteed
/// quotas.
class WarmPool {
  public:
    WarmPool(Context& context, QueueOrder& queueOrder)
        : context_(context), queueOrder_(queueOrder) {}

    /// Counts, by class, all jobs and the urgent ones, whose objectives leave no time to boot a
    /// machine and fetch the image. Each job counts once.
    void updateClassDemand(ClusterState& clusterState);
    /// Totals the teams' guaranteed quotas and the capacity of the recorded machines.
    void updateGuarantees(const ClusterState& clusterState);
    /// How long the machine may be idle before it is decommissioned.
    [[nodiscard]] Duration idleLimit(const Machine& machine, const MachineType& type) const;
    /// Whether consolidating this partition's machines may save any: its queue is empty, and none
    /// of its machines would be kept while idle.
    [[nodiscard]] bool mayConsolidate(PartitionId partition);

  private:
    struct ClassDemand {
        int jobs = 0;
        int urgentJobs = 0;           // jobs that can't wait for a boot
        std::set<std::string> types;  // machine types that could run them
        SteadyTime lastSeen{};
    };

    // The shortest time that the job's objectives leave besides its estimated run time; none if it
    // has no objective.
    [[nodiscard]] std::optional<Seconds> slackOf(const protocol::JobSpec& spec) const;
    [[nodiscard]] bool isWithinGuarantee(const Machine& machine) const;
    // Whether the machine's type suits a job class that can't wait for a boot.
    [[nodiscard]] bool isInWarmPool(const Machine& machine) const;

    Context& context_;
    QueueOrder& queueOrder_;
    Resources guaranteed_;  // total of all teams
    double upGpus_ = 0;
    double upCpus_ = 0;                               // of machines without GPUs
    std::map<std::string, ClassDemand> classDemand_;  // by class
};

}  // namespace fawnwheel::coordination
