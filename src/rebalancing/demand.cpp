#include "rebalancing/demand.h"

#include <algorithm>
#include <cmath>

namespace fawnwheel::rebalancing {

namespace {

constexpr double negligibleAverage = 0.05;  // tasks; a smaller average is dropped

constexpr std::uint32_t lowestPriorityRank = 3;
constexpr std::uint32_t guaranteedUrgency = 4;

}  // namespace

std::uint32_t urgencyOf(protocol::Priority priority, bool withinGuarantee) {
    const auto rank = std::min(lowestPriorityRank, static_cast<std::uint32_t>(priority));
    return lowestPriorityRank - rank + (withinGuarantee ? guaranteedUrgency : 0);
}

std::uint64_t millisOf(transport::WallTime time) {
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, millis.count()));
}

std::uint32_t TaskShape::countFitting(const std::string& type, const std::string& inZone,
                                      bool onSpot, protocol::Resources free,
                                      std::uint32_t maxCount) const {
    const bool allowed =
        (!onSpot || spot) && (zone.empty() || zone == inZone) &&
        (types.empty() || std::find(types.begin(), types.end(), type) != types.end());
    if (!allowed) return 0;
    std::uint32_t count = 0;
    while (count < maxCount && each.fits(free)) {
        free -= each;
        ++count;
    }
    return count;
}

void DemandAverage::sample(const std::vector<Demand>& waiting) {
    for (auto& entry : entries_) entry.latest.tasks = 0;
    for (const auto& demand : waiting) {
        auto found = std::find_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
            return entry.latest.shape == demand.shape;
        });
        if (found == entries_.end()) {
            entries_.push_back({demand, 0});
            continue;
        }
        Demand& latest = found->latest;
        const bool first = latest.tasks == 0;
        latest.tasks += demand.tasks;
        latest.indivisible = first ? demand.indivisible : latest.indivisible || demand.indivisible;
        latest.since = first ? demand.since : std::min(latest.since, demand.since);
        latest.urgency = first ? demand.urgency : std::max(latest.urgency, demand.urgency);
    }
    for (auto& entry : entries_)
        entry.average += thresholds_.weight * (entry.latest.tasks - entry.average);
    std::erase_if(entries_, [](const Entry& entry) {
        return entry.latest.tasks == 0 && entry.average < negligibleAverage;
    });
}

std::vector<Demand> DemandAverage::requested() const {
    std::vector<Demand> requests;
    for (const auto& [latest, average] : entries_) {
        if (latest.tasks == 0 || average < thresholds_.low) continue;
        const double ramp =
            std::min(1.0, (average - thresholds_.low) / (thresholds_.high - thresholds_.low));
        Demand demand = latest;
        // Request a gang's demand whole: with some of its machines, it would start no sooner.
        if (!demand.indivisible)
            demand.tasks = std::ceil(std::min(latest.tasks, std::max(1.0, average * ramp)));
        requests.push_back(std::move(demand));
    }
    return requests;
}

bool DemandAverage::isShortOf(const std::string& type, const std::string& zone, bool spot,
                              const protocol::Resources& free) const {
    return std::any_of(entries_.begin(), entries_.end(), [&](const Entry& entry) {
        return entry.average >= thresholds_.low &&
               entry.latest.shape.countFitting(type, zone, spot, free, 1) > 0;
    });
}

}  // namespace fawnwheel::rebalancing
