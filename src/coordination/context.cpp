#include "coordination/context.h"

#include <charconv>
#include <cmath>

namespace fawnwheel::coordination {

namespace {

constexpr double goldenRatio = 0.6180339887498949;

std::uint64_t numberOf(const std::string& id) {
    const auto digits = id.find_last_not_of("0123456789") + 1;
    std::uint64_t number = 0;
    std::from_chars(id.data() + digits, id.data() + id.size(), number);
    return number;
}

}  // namespace

// A partition has machines of few zones, so that a gang finds its machines together and a cut
// between zones separates few of them from their leader: the nodes stand in the order of their
// zones, and each zone has an equal run of them. With one node or less for a zone all its machines
// would depend on that node: then by number alone.
std::uint32_t Context::defaultPartition(const std::string& zone, const std::string& id) const {
    struct ZonedNode {
        std::string zone;
        PartitionId partition = 0;
        bool operator<(const ZonedNode& other) const {
            return std::tie(zone, partition) < std::tie(other.zone, other.partition);
        }
    };
    std::vector<ZonedNode> order;
    std::set<std::string> zones;
    for (PartitionId partition = 0; partition < nodes.size(); ++partition) {
        order.push_back({settings.zoneOf(nodes[partition]), partition});
        zones.insert(order.back().zone);
    }
    std::sort(order.begin(), order.end());
    const auto number = numberOf(id);
    const auto at = zones.find(zone);
    if (at == zones.end() || zones.size() >= nodes.size())
        return static_cast<std::uint32_t>(number % nodes.size());
    // Names are given out in order: neighbours, mostly of one type, are dealt out evenly.
    double whole = 0;
    const double fraction = std::modf(static_cast<double>(number) * goldenRatio, &whole);
    const double run = static_cast<double>(nodes.size()) / static_cast<double>(zones.size());
    const auto index = static_cast<double>(std::distance(zones.begin(), at));
    const auto place = static_cast<std::size_t>((index + fraction) * run);
    return order[std::min(place, order.size() - 1)].partition;
}

}  // namespace fawnwheel::coordination
