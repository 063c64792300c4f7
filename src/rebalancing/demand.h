/// @file
/// What a partition lacks machines for, averaged, and how much of it is asked of the other
/// partitions.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "protocol/messages.h"
#include "transport/interfaces.h"

namespace fawnwheel::rebalancing {

/// What a task needs of a machine. Tasks of one shape count as one demand, whatever their jobs.
struct TaskShape {
    protocol::Resources each;
    std::vector<std::string> types;  ///< sorted; empty: any
    std::string zone;                ///< empty: any
    bool spot = false;               ///< spot machines will do

    [[nodiscard]] auto key() const {
        return std::tie(each.cpus, each.gpus, each.memory, types, zone, spot);
    }
    bool operator<(const TaskShape& other) const { return key() < other.key(); }
    bool operator==(const TaskShape& other) const { return key() == other.key(); }
    /// How many such tasks find room there; none where the shape does not allow the machine.
    [[nodiscard]] std::uint32_t placesOn(const std::string& type, const std::string& inZone,
                                         bool onSpot, protocol::Resources free,
                                         std::uint32_t maxPlaces) const;
};

/// Tasks of one shape for which a partition lacks machines.
struct Demand {
    TaskShape shape;
    double tasks = 0;           ///< without a place
    bool indivisible = false;   ///< a gang: a part of its machines is of no use
    std::uint32_t urgency = 0;  ///< higher goes first
    /// Submission of its oldest job, milliseconds: of equals, the older goes first.
    std::uint64_t since = 0;

    [[nodiscard]] bool precedes(const Demand& other) const {
        return std::tie(other.urgency, since) < std::tie(urgency, other.since);
    }
};

/// When averaged demand is requested from other partitions.
struct DemandThresholds {
    double low = 0;   ///< averaged tasks: below it nothing is asked
    double high = 1;  ///< from here on all is asked
    double weight = 1;
};

/// Urgency of a priority; work within its team's guaranteed quota comes before all other.
[[nodiscard]] std::uint32_t urgencyOf(protocol::Priority priority, bool withinGuarantee);
/// The largest value that `urgencyOf` returns.
inline constexpr std::uint32_t highestUrgency = 7;
/// As `Demand::since` counts.
[[nodiscard]] std::uint64_t millisOf(transport::WallTime time);

/// Exponentially weighted average of the demand of one partition, by task shape.
class DemandAverage {
  public:
    explicit DemandAverage(DemandThresholds thresholds) : thresholds_(thresholds) {}

    /// Takes a sample of what waits now.
    void sample(const std::vector<Demand>& waiting);
    /// Whole tasks to ask machines for, never more than wait now.
    [[nodiscard]] std::vector<Demand> requested() const;
    /// Whether some shape that fits there lacks so much that a machine would be asked back.
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
