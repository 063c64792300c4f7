#include "storage/record_keys.h"

#include <array>
#include <charconv>

namespace fawnwheel::storage {

namespace {

constexpr auto jobPrefix = "live/job/";
constexpr auto slicePrefix = "live/slice/";
constexpr auto machinePrefix = "live/machine/";
constexpr auto partitionPrefix = "live/part/";
constexpr auto nodePrefix = "live/node/";
constexpr auto quotaPrefix = "live/share/";
constexpr auto jobDependenciesPrefix = "live/upgraded/";
constexpr auto machineTransfersPrefix = "live/transfers/";
constexpr auto terminalPrefix = "final/";

struct KindPrefix {
    std::string_view prefix;
    RecordKind kind;
};

constexpr std::array kindPrefixes{
    KindPrefix{jobPrefix, RecordKind::job},
    KindPrefix{slicePrefix, RecordKind::slice},
    KindPrefix{machinePrefix, RecordKind::machine},
    KindPrefix{partitionPrefix, RecordKind::partition},
    KindPrefix{nodePrefix, RecordKind::node},
    KindPrefix{quotaPrefix, RecordKind::quota},
    KindPrefix{jobDependenciesPrefix, RecordKind::jobDependenciesGate},
    KindPrefix{machineTransfersPrefix, RecordKind::machineTransfersGate},
};

}  // namespace

namespace keys {
std::string job(const std::string& id) {
    return jobPrefix + id;
}
std::string slice(const std::string& id, std::uint32_t index) {
    return slicePrefix + id + "/" + std::to_string(index);
}
std::string machine(const std::string& id) {
    return machinePrefix + id;
}
std::string partition(PartitionId partition) {
    return partitionPrefix + std::to_string(partition);
}
std::string node(const std::string& name) {
    return nodePrefix + name;
}
std::string quota(const std::string& team) {
    return quotaPrefix + team;
}
std::string jobDependenciesGate(const std::string& node) {
    return jobDependenciesPrefix + node;
}
std::string machineTransfersGate(const std::string& node) {
    return machineTransfersPrefix + node;
}
std::string terminal(const std::string& id) {
    return terminalPrefix + id;
}
}  // namespace keys

RecordKey parseKey(std::string_view key) {
    if (key == keys::catalog) return {RecordKind::catalog, {}};
    if (key == keys::term) return {RecordKind::term, {}};
    for (const auto& [prefix, kind] : kindPrefixes)
        if (key.starts_with(prefix)) return {kind, std::string(key.substr(prefix.size()))};
    return {};
}

std::optional<std::uint32_t> parseNumber(std::string_view text) {
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

}  // namespace fawnwheel::storage
