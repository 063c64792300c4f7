/// @file
/// Averages the tasks for which a partition lacks machines, and decides for how many of them it
/// requests machines from other partitions.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "protocol/messages.h"
#include "transport/interfaces.h"

namespace fawnwheel::rebalancing {

/// What a task requires of a machine. Tasks of one shape form one demand, whatever their jobs.
struct TaskShape {
    protocol::Resources each;
    std::vector<std::string> types;  ///< sorted; empty: any
    std::string zone;                ///< empty: any
    bool spot = false;               ///< spot machines are allowed

    [[nodiscard]] auto key() const {
        return std::tie(each.cpus, each.gpus, each.memory, types, zone, spot);
    }
    bool operator<(const TaskShape& other) const { return key() < other.key(); }
    bool operator==(const TaskShape& other) const { return key() == other.key(); }
    /// How many such tasks fit into `free`, at most `maxCount`; 0 if the machine's type, zone or
    /// spot capacity is not allowed.
    [[nodiscard]] std::uint32_t countFitting(const std::string& type, const std::string& inZone,
                                             bool onSpot, protocol::Resources free,
                                             std::uint32_t maxCount) const;
};

/// Tasks of one shape for which a partition lacks machines.
struct Demand {
    TaskShape shape;
    double tasks = 0;           ///< that fit on no machine
    bool indivisible = false;   ///< a gang, which can't use only some of its machines
    std::uint32_t urgency = 0;  ///< higher goes first
    /// Submission time of the oldest job, in milliseconds since the epoch. At equal urgency, the
    /// older demand goes first.
    std::uint64_t since = 0;

    [[nodiscard]] bool precedes(const Demand& other) const {
        return std::tie(other.urgency, since) < std::tie(urgency, other.since);
    }
};

/// Thresholds on the averaged demand for requesting machines from other partitions.
struct DemandThresholds {
    double low = 0;     ///< averaged tasks; below it nothing is requested
    double high = 1;    ///< averaged tasks; from it on everything is requested
    double weight = 1;  ///< of the latest sample
};

/// Urgency of a priority; work within its team's guaranteed quota precedes all other work.
[[nodiscard]] std::uint32_t urgencyOf(protocol::Priority priority, bool withinGuarantee);
/// The largest value that `urgencyOf` returns.
inline constexpr std::uint32_t highestUrgency = 7;
/// Milliseconds since the epoch, as in `Demand::since`; 0 for earlier times.
[[nodiscard]] std::uint64_t millisOf(transport::WallTime time);

/// Exponentially weighted average of the demand of one partition, by task shape.
class DemandAverage {
  public:
    explicit DemandAverage(DemandThresholds thresholds) : thresholds_(thresholds) {}

    /// Adds a sample: the demand that waits now.
    void sample(const std::vector<Demand>& waiting);
    /// Demands to request machines for, in whole tasks; never more than wait now.
    [[nodiscard]] std::vector<Demand> requested() const;
    /// Whether the averaged demand of any shape that fits on such a machine has reached the low
    /// threshold, so that the machine would be requested back.
    [[nodiscard]] bool isShortOf(const std::string& type, const std::string& zone, bool spot,
                                 const protocol::Resources& free) const;

  private:
    struct Entry {
        Demand latest;
        double average = 0;
    };

    DemandThresholds thresholds_;
    std::vector<Entry> entries_;
};

}  // namespace fawnwheel::rebalancing
