#include "coordination/provisioning/machine_catalog.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto catalogInterval = 60s;
constexpr auto catalogRetryInterval = 1s;

}  // namespace

void MachineCatalog::start() {
    load();
}

void MachineCatalog::load() {
    context_.cloudClient.catalog([this](std::optional<std::vector<MachineType>> types) {
        if (types && !types->empty()) {
            if (!loaded_) spdlog::info("inventory: catalog_loaded types={}", types->size());
            context_.catalog = std::move(*types);
            loaded_ = true;
            record();
        }
        const Duration pause = loaded_ ? Duration(catalogInterval) : catalogRetryInterval;
        context_.timers.after(context_.jittered(pause), [this] { load(); });
    });
}

void MachineCatalog::record() {
    // Without a recorded catalog, a controller that starts while the cloud does not respond knows
    // no machine types, and neither admits nor places any work (incident inc-058e).
    if (!membership_.isLeader(0) || !membership_.isLeaseValid()) return;
    auto value = storage::catalogValue(context_.catalog);
    std::uint64_t version = 0;
    {
        auto clusterState = context_.clusterState.lock();
        version = clusterState->catalogVersion;
        // A change of prices alone is not written: prices change all the time.
        const auto same = [](const MachineType& a, const MachineType& b) {
            return a.name == b.name && a.capacity.fits(b.capacity) && b.capacity.fits(a.capacity) &&
                   a.zones == b.zones;
        };
        if (std::equal(context_.catalog.begin(), context_.catalog.end(),
                       clusterState->catalog.begin(), clusterState->catalog.end(), same))
            return;
    }
    if (protocol::jsonSize(value) > context_.settings.maxValueBytes()) return;
    const auto types = context_.catalog;
    pipeline_.commit(
        0, {{{storage::keys::catalog, version}}, {{storage::keys::catalog, std::move(value), 0}}},
        [this, types](CommitResult result, std::uint64_t revision) {
            if (result != CommitResult::committed) return;
            auto clusterState = context_.clusterState.lock();
            if (clusterState->catalogVersion >= revision) return;
            clusterState->catalog = types;
            clusterState->catalogVersion = revision;
        });
}

void MachineCatalog::recordIfMissing(const ClusterState& clusterState) {
    if (clusterState.catalog.empty() && !context_.catalog.empty() && !pipeline_.busy(0)) record();
}

void MachineCatalog::restoreRecorded() {
    auto clusterState = context_.clusterState.lock();
    if (!context_.catalog.empty() || clusterState->catalog.empty()) return;
    context_.catalog = clusterState->catalog;
    spdlog::info("inventory: catalog_restored types={}", context_.catalog.size());
}

}  // namespace fawnwheel::coordination
