#include "coordination/context.h"

#include <charconv>
#include <cmath>

namespace fawnwheel::coordination {

namespace {

constexpr double goldenRatio = 0.6180339887498949;

std::uint64_t trailingNumber(const std::string& id) {
    const auto firstDigit = id.find_last_not_of("0123456789") + 1;
    std::uint64_t number = 0;
    std::from_chars(id.data() + firstDigit, id.data() + id.size(), number);
    return number;
}

}  // namespace

// A partition has machines of few zones, so that a gang finds its machines in one partition and a
// network partition between zones separates few machines from their leader. To this end the nodes
// are sorted by zone, and each zone of machines gets an equally long run of them. If there is at
// most one node per zone, all machines of a zone would depend on that node; machines are then
// assigned by number alone, as are machines of zones without nodes.
std::uint32_t Context::defaultPartition(const std::string& zone, const std::string& id) const {
    struct ZonedNode {
        std::string zone;
        PartitionId partition = 0;
        bool operator<(const ZonedNode& other) const {
            return std::tie(zone, partition) < std::tie(other.zone, other.partition);
        }
    };
    std::vector<ZonedNode> nodesByZone;
    std::set<std::string> zones;
    for (PartitionId partition = 0; partition < nodes.size(); ++partition) {
        nodesByZone.push_back({settings.zoneOf(nodes[partition]), partition});
        zones.insert(nodesByZone.back().zone);
    }
    std::sort(nodesByZone.begin(), nodesByZone.end());
    const auto number = trailingNumber(id);
    const auto zonePosition = zones.find(zone);
    if (zonePosition == zones.end() || zones.size() >= nodes.size())
        return static_cast<std::uint32_t>(number % nodes.size());
    // Machine numbers are assigned in sequence, and neighbours are mostly of one type. Multiplying
    // by the golden ratio spreads neighbours evenly over the zone's nodes.
    double integerPart = 0;
    const double fraction = std::modf(static_cast<double>(number) * goldenRatio, &integerPart);
    const double nodesPerZone =
        static_cast<double>(nodes.size()) / static_cast<double>(zones.size());
    const auto zoneIndex = static_cast<double>(std::distance(zones.begin(), zonePosition));
    const auto nodePosition = static_cast<std::size_t>((zoneIndex + fraction) * nodesPerZone);
    return nodesByZone[std::min(nodePosition, nodesByZone.size() - 1)].partition;
}

}  // namespace fawnwheel::coordination
