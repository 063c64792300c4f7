#include "coordination/provisioning/fleet.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "storage/records.h"

namespace fawnwheel::coordination {

namespace {

using namespace std::chrono_literals;

constexpr auto catalogPeriod = 60s;
constexpr auto catalogRetry = 1s;
constexpr auto listPeriod = 4s;
constexpr double listFractionOfCalls = 0.2;
constexpr double lagMargin = 2.2;  // a list may lag by up to twice the stated time
constexpr auto listMargin = 1s;
constexpr auto renterFirst = 10s;   // a new machine's renter records it itself
constexpr double neverBoots = 4.0;  // times the stated boot time
constexpr auto silentRelease = 15s;
constexpr double silentHeartbeats = 3.5;  // and no sooner than after so many missed heartbeats
constexpr double quietHeartbeats = 1.5;   // a heartbeat that is so late is overdue
constexpr std::size_t maxReleaseAtOnce = 100;
constexpr auto useLogPeriod = 20s;

}  // namespace

void Fleet::start() {
    setUpWrites();
    loadCatalog();
    listMachines();
}

void Fleet::loadCatalog() {
    context_.cloud.catalog([this](std::optional<std::vector<MachineType>> types) {
        if (types && !types->empty()) {
            if (!catalogLoaded_)
                spdlog::info("cloud: catalog with {} machine types", types->size());
            context_.catalog = std::move(*types);
            catalogLoaded_ = true;
            recordCatalog();
        }
        const Duration pause = catalogLoaded_ ? Duration(catalogPeriod) : catalogRetry;
        context_.timers.after(context_.jittered(pause), [this] { loadCatalog(); });
    });
}

void Fleet::recordCatalog() {
    // A controller that starts while the cloud does not answer would else know no machine types,
    // and take in and place nothing (incident inc-058e).
    if (!membership_.isLeader(0) || !membership_.isLeaseValid()) return;
    auto value = storage::catalogValue(context_.catalog);
    std::uint64_t version = 0;
    {
        auto clusterState = context_.clusterState.lock();
        version = clusterState->catalogVersion;
        // Prices move all the time and are not worth a write.
        const auto same = [](const MachineType& a, const MachineType& b) {
            return a.name == b.name && a.capacity.fits(b.capacity) && b.capacity.fits(a.capacity) &&
                   a.zones == b.zones;
        };
        if (std::equal(context_.catalog.begin(), context_.catalog.end(),
                       clusterState->catalog.begin(), clusterState->catalog.end(), same))
            return;
    }
    if (value.dump().size() > context_.settings.valueBytes()) return;
    const auto types = context_.catalog;
    pipeline_.commit(
        0, {{{storage::keys::catalog, version}}, {{storage::keys::catalog, std::move(value), 0}}},
        [this, types](CommitResult result, std::uint64_t revision) {
            if (result != CommitResult::done) return;
            auto clusterState = context_.clusterState.lock();
            if (clusterState->catalogVersion >= revision) return;
            clusterState->catalog = types;
            clusterState->catalogVersion = revision;
        });
}

void Fleet::adoptCatalog() {
    auto clusterState = context_.clusterState.lock();
    if (!context_.catalog.empty() || clusterState->catalog.empty()) return;
    context_.catalog = clusterState->catalog;
    spdlog::info("cloud: {} machine types from the record", context_.catalog.size());
}

void Fleet::listMachines() {
    if (membership_.ledPartitions().empty()) {
        context_.timers.after(context_.jittered(500ms), [this] { listMachines(); });
        return;
    }
    listPage({}, context_.now(), {}, 1);
}

void Fleet::listPage(const std::string& after, SteadyTime asked,
                     std::vector<protocol::CloudMachine> sofar, int pages) {
    context_.cloud.list(after, [this, asked, pages, sofar = std::move(sofar)](
                                   std::optional<protocol::CloudPage> page) mutable {
        // An empty page that says more is no end: all behind it would seem to be gone.
        if (page && !(page->more && page->machines.empty())) {
            sofar.insert(sofar.end(), page->machines.begin(), page->machines.end());
            if (page->more) {
                // A copy: arguments are evaluated in any order, so that the name once was read
                // from a list that had been moved away (scenario grown_fleet).
                const auto last = sofar.back().id;
                return listPage(last, asked, std::move(sofar), pages + 1);
            }
            applyMachineList(asked, sofar);
        }
        const auto fraction =
            context_.settings.cloudCalls / static_cast<double>(context_.nodes.size());
        const auto pause = std::max<Duration>(
            listPeriod, ticks(Seconds(pages / (fraction * listFractionOfCalls))));
        context_.timers.after(context_.jittered(pause), [this] { listMachines(); });
    });
}

void Fleet::applyMachineList(SteadyTime asked,
                             const std::vector<protocol::CloudMachine>& machines) {
    const auto now = context_.now();
    const auto lag = ticks(context_.settings.listLag * lagMargin) + listMargin;
    std::set<std::string> present;
    const auto partitions = membership_.ledPartitions();
    const std::set<std::uint32_t> own(partitions.begin(), partitions.end());
    auto clusterState = context_.clusterState.lock();
    for (const auto& listed : machines) {
        present.insert(listed.id);
        if (Machine* machine = clusterState->machine(listed.id)) {
            machine->listed = now;
            if (machine->address.empty()) machine->address = listed.address;
            machine->failedInList = listed.state == protocol::CloudState::failed;
            continue;
        }
        // A lagging list still shows machines that are gone. One that was returned before this
        // process began is told from a new one by the lists of a later moment.
        const auto partition = partitionFor(*clusterState, listed.id, listed.zone);
        if (!own.contains(partition) || clusterState->goneMachines.contains(listed.id)) continue;
        const auto& found = unassigned_.try_emplace(listed.id, Found{listed, now}).first->second;
        if (asked - found.seen <= lag || now - found.seen <= renterFirst) continue;
        unassigned_.erase(listed.id);
        ensureMachine(listed.id, listed.type, listed.zone, listed.spot, partition);
    }
    std::erase_if(unassigned_, [&](const auto& e) { return !present.contains(e.first); });
    std::vector<std::pair<std::uint32_t, std::string>> gone;
    for (auto& [id, machine] : clusterState->machines) {
        if (!own.contains(machine.partition)) continue;
        if (machine.failedInList && !machine.decommissioned) {
            // It has stopped on its own, with all that ran on it.
            heartbeats_.releaseAllocations(machine, "failed");
            decommission(machine, "failed");
            continue;
        }
        // Once listed, a machine stays listed until it is gone; but this list may describe a
        // moment before an earlier one did, and before the machine's latest heartbeat.
        if (present.contains(id) || !machine.listed || asked - *machine.listed <= lag ||
            (machine.lastHeartbeat && asked - *machine.lastHeartbeat <= lag))
            continue;
        heartbeats_.releaseAllocations(machine, "no longer listed");
        gone.emplace_back(machine.partition, id);
    }
    for (const auto& [partition, id] : gone) forgetMachine(partition, id);
}

void Fleet::onUnassignedHeartbeat(const protocol::Heartbeat& heartbeat) {
    const auto now = context_.now();
    // A heartbeat that was held back on its way.
    if (context_.clusterState.lock()->goneMachines.contains(heartbeat.machine)) return;
    const auto [entry, fresh] = unassigned_.try_emplace(heartbeat.machine);
    if (fresh) entry->second.seen = now;
    // Its renter's record may be on its way; but machines that were there before us have none.
    if (fresh || now - entry->second.seen <= 1s) return;
    unassigned_.erase(entry);
    ensureMachine(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot,
                  partitionFor(*context_.clusterState.lock(), heartbeat.machine, heartbeat.zone));
}

std::uint32_t Fleet::partitionFor(const ClusterState& clusterState, const std::string& id,
                                  const std::string& zone) const {
    if (clusterState.corruptMachines.contains(id))
        if (const auto partition = clusterState.partitionOfAllocationsOn(id)) return *partition;
    return context_.defaultPartition(zone, id);
}

void Fleet::repairRecords(ClusterState& clusterState, std::uint32_t partition) {
    for (const auto& [id, damaged] : clusterState.corruptMachines) {
        const Machine* machine = clusterState.machine(id);
        const auto type = protocol::textOf(damaged.value, "type");
        const auto zone = protocol::textOf(damaged.value, "zone");
        // Read corrupt at the start: with a type and a zone it can be made out, and else the
        // cloud's list tells them.
        if (machine == nullptr && context_.type(type) != nullptr &&
            partitionFor(clusterState, id, zone) == partition)
            machine =
                ensureMachine(id, type, zone, protocol::flagOf(damaged.value, "spot"), partition);
        if (machine == nullptr || machine->partition != partition || machine->transferring)
            continue;
        if (recording_.pending.contains(id)) continue;
        spdlog::warn("machine {}: its record can't be used, part {} keeps it and writes it anew",
                     id, partition);
        write(recording_, partition, id);
    }
}

Machine* Fleet::ensureMachine(const std::string& id, const std::string& type,
                              const std::string& zone, bool spot, std::uint32_t partition) {
    auto clusterState = context_.clusterState.lock();
    if (clusterState->machine(id) != nullptr || clusterState->goneMachines.contains(id))
        return nullptr;
    Machine& machine = clusterState->addMachine(id, partition);
    machine.type = type;
    machine.zone = zone;
    machine.spot = spot;
    machine.known = machine.silentSince = machine.idleSince = context_.now();
    if (const auto damaged = clusterState->corruptMachines.find(id);
        damaged != clusterState->corruptMachines.end()) {
        machine.version = damaged->second.version;
        clusterState->attachAllocations(machine);
    }
    return &machine;
}

void Fleet::write(RecordWrites& writes, std::uint32_t partition, const std::string& id) {
    if (!writes.pending.insert(id).second) return;
    writes.queues[partition].push_back(id);
    writeSome(writes, partition);
}

void Fleet::writeSome(RecordWrites& writes, std::uint32_t partition) {
    // Many in one transaction, and half of what it may hold, so that allocations don't wait for
    // long. With one write after the other a thousand machines took minutes to record, and idle
    // ones to be given back.
    auto& queue = writes.queues[partition];
    if (queue.empty() || !writes.underWay.insert(partition).second) return;
    const auto most = std::max<std::size_t>(1, context_.settings.transactionChanges / 2);
    protocol::CompareAndSwap transaction;
    std::vector<std::string> ids;
    {
        auto clusterState = context_.clusterState.lock();
        while (!queue.empty() && ids.size() < most) {
            const auto id = std::move(queue.front());
            queue.pop_front();
            const Machine* machine = clusterState->machine(id);
            if (machine == nullptr || machine->partition != partition) {
                writes.pending.erase(id);
                continue;
            }
            const auto key = storage::keys::machine(id);
            transaction.compares.push_back({key, machine->version});
            transaction.writes.push_back({key, writes.value(*machine), 0});
            ids.push_back(id);
        }
    }
    if (ids.empty()) {
        writes.underWay.erase(partition);
        return;
    }
    pipeline_.commit(partition, std::move(transaction),
                     [this, &writes, partition, ids](CommitResult result, std::uint64_t revision) {
                         writes.underWay.erase(partition);
                         for (const auto& id : ids) {
                             writes.pending.erase(id);
                             auto clusterState = context_.clusterState.lock();
                             Machine* machine = clusterState->machine(id);
                             if (machine != nullptr) writes.settled(*machine, result, revision);
                         }
                         rounds_.scheduleRound();
                         writeSome(writes, partition);
                     });
}

void Fleet::setUpWrites() {
    recording_.value = [](const Machine& machine) { return storage::machineValue(machine); };
    recording_.settled = [this](Machine& machine, CommitResult result, std::uint64_t revision) {
        if (result == CommitResult::done) {
            machine.version = std::max(machine.version, revision);
            context_.clusterState.lock()->corruptMachines.erase(machine.id);
        } else if (machine.version == 0 && result != CommitResult::partitionLost) {
            // Another of the batch has a record; this one is tried again.
            write(recording_, machine.partition, machine.id);
        }
    };
    decommissioning_.value = [](const Machine& machine) {
        Machine decommissioned = machine;
        decommissioned.decommissioned = true;
        return storage::machineValue(decommissioned);
    };
    decommissioning_.settled = [](Machine& machine, CommitResult result, std::uint64_t revision) {
        // Also if the records have been read anew meanwhile, as they stood before.
        machine.decommissioned = result == CommitResult::done;
        if (machine.decommissioned) machine.version = std::max(machine.version, revision);
    };
    dropping_.value = [](const Machine&) { return std::optional<protocol::Json>(); };
    dropping_.settled = [this](Machine& machine, CommitResult result, std::uint64_t) {
        if (result == CommitResult::done)
            context_.clusterState.lock()->dropMachine(std::string(machine.id));
    };
}

bool Fleet::wantedByAny(const ClusterState& clusterState, const Machine& machine,
                        const MachineType& type) const {
    return std::any_of(clusterState.jobs.begin(), clusterState.jobs.end(), [&](const auto& entry) {
        return typeAllowed(entry.second.spec, type, machine.zone, machine.spot);
    });
}

void Fleet::reconcileUnrecorded(std::uint32_t partition, Machine& machine,
                                const MachineType& type) {
    const auto now = context_.now();
    if (recording_.pending.contains(machine.id)) return;
    // What only late copies of heartbeats speak of, or can't hear, is of no use.
    const bool ghost =
        !machine.acknowledged() && now - machine.known > ticks(context_.settings.lease);
    if (machine.acknowledged() && wantedByAny(*context_.clusterState.lock(), machine, type)) {
        write(recording_, partition, machine.id);
    } else if (ghost || now - machine.idleSince > idleLimit(machine, type)) {
        // It never had work, and no allocation can name it: it needs no record to be given back.
        spdlog::debug("machine {}: giving back, never wanted", machine.id);
        machine.decommissioned = true;
    }
}

void Fleet::decommission(Machine& machine, const char* why) {
    // Its new leader will see to it.
    if (machine.transferring) return;
    if (machine.decommissioned || decommissioning_.pending.contains(machine.id)) return;
    spdlog::info("machine {}: giving back, {}", machine.id, why);
    machine.decommissioned = true;  // no new allocations from now on
    write(decommissioning_, machine.partition, machine.id);
}

void Fleet::release() {
    // One call at a time, for all that has gathered meanwhile: calls are few, and with one for each
    // machine hundreds of idle ones stayed for minutes.
    if (!releasing_.empty()) return;
    std::vector<std::string> names;
    auto clusterState = context_.clusterState.lock();
    for (const auto partition : membership_.ledPartitions())
        for (const auto* machine : clusterState->machinesOf(partition)) {
            // Only after the record says so, durably: a late copy of the request must not hit a
            // machine that has work again.
            if (machine->decommissioned && !decommissioning_.pending.contains(machine->id) &&
                names.size() < maxReleaseAtOnce && releasing_.insert(machine->id).second)
                names.push_back(machine->id);
        }
    if (names.empty()) return;
    context_.cloud.release(names, [this, names](bool gone) {
        for (const auto& id : names) {
            releasing_.erase(id);
            if (!gone) continue;
            auto held = context_.clusterState.lock();
            Machine* machine = held->machine(id);
            if (machine == nullptr || !membership_.isLeader(machine->partition)) continue;
            heartbeats_.releaseAllocations(*machine, "given back");
            forgetMachine(machine->partition, id);
        }
    });
}

void Fleet::forgetMachine(std::uint32_t partition, const std::string& id) {
    auto clusterState = context_.clusterState.lock();
    const Machine* machine = clusterState->machine(id);
    // While an allocation on it is being written, its end can't be recorded.
    if (machine == nullptr || !machine->allocations.empty()) return;
    if (machine->version == 0 && !recording_.pending.contains(id))
        return clusterState->dropMachine(id);
    write(dropping_, partition, id);
}

void Fleet::logUse(const ClusterState& clusterState, std::uint32_t partition) {
    const auto now = context_.now();
    if (!spdlog::should_log(spdlog::level::debug) || now - useLogged_[partition] < useLogPeriod)
        return;
    useLogged_[partition] = now;
    struct Use {
        int up = 0, booting = 0, idle = 0, kept = 0;
        Resources used, all;
    };
    std::map<std::string, Use> kinds;
    for (const auto* machine : clusterState.machinesOf(partition)) {
        const auto* type = context_.type(machine->type);
        if (type == nullptr) continue;
        auto& use = kinds[machine->type + " in " + machine->zone];
        ++(machine->lastHeartbeat ? use.up : use.booting);
        if (machine->lastHeartbeat && machine->allocations.empty()) ++use.idle;
        if (now < machine->reservedUntil) ++use.kept;
        use.used += machine->used;
        if (machine->lastHeartbeat) use.all += type->capacity;
    }
    for (const auto& [kind, use] : kinds)
        spdlog::debug(
            "part {}: {}: {} up, {} booting, {} idle, {} kept, CPUs {:.0f} of {:.0f}, GPUs {:.0f} "
            "of {:.0f}",
            partition, kind, use.up, use.booting, use.idle, use.kept, use.used.cpus, use.all.cpus,
            use.used.gpus, use.all.gpus);
}

std::set<std::string> Fleet::quietZones(const ClusterState& clusterState,
                                        std::uint32_t partition) const {
    // Many at once are behind a cut rather than dead, and cuts go by zones: a partition with
    // machines in two zones once gave back all of one. They are counted as soon as a heartbeat is
    // overdue: counted only when it was time to give them up, each in turn was the only silent one,
    // and a partition gave back all its machines with all that ran there (incident inc-59fe).
    struct Count {
        std::size_t live = 0;
        std::size_t quiet = 0;
    };
    std::map<std::string, Count> zones;
    const auto overdue = ticks(context_.settings.heartbeatInterval * quietHeartbeats);
    for (const auto* machine : clusterState.machinesOf(partition)) {
        if (!machine->lastHeartbeat) continue;
        auto& count = zones[machine->zone];
        ++count.live;
        if (context_.now() - *machine->lastHeartbeat > overdue) ++count.quiet;
    }
    std::set<std::string> quiet;
    for (const auto& [zone, count] : zones)
        if (membership_.workersUnreachable() || (count.quiet > 1 && count.quiet * 2 > count.live))
            quiet.insert(zone);
    return quiet;
}

void Fleet::reconcileMachines(std::uint32_t partition) {
    if (!membership_.isLeaseValid()) return;
    const auto now = context_.now();
    auto clusterState = context_.clusterState.lock();
    recordGuaranteed(*clusterState);
    logUse(*clusterState, partition);
    if (partition == 0 && clusterState->catalog.empty() && !context_.catalog.empty() &&
        !pipeline_.busy(0))
        recordCatalog();
    recordClasses(*clusterState);
    repairRecords(*clusterState, partition);
    const auto silentLimit = std::max<Duration>(
        silentRelease, ticks(context_.settings.heartbeatInterval * silentHeartbeats));
    const auto behindCut = quietZones(*clusterState, partition);
    for (auto* entry : clusterState->machinesOf(partition)) {
        Machine& machine = *entry;
        const auto* type = context_.type(machine.type);
        if (machine.decommissioned || type == nullptr) continue;
        if (machine.version == 0) {
            reconcileUnrecorded(partition, machine, *type);
            continue;
        }
        if (!machine.lastHeartbeat) {
            if (machine.allocations.empty() &&
                now - machine.known > ticks(type->bootTime * neverBoots) + bootGrace)
                decommission(machine, "never came up");
        } else if (machine.notBefore - now > 1min) {
            decommission(machine, "faulty");
        } else if (now - *machine.lastHeartbeat > silentLimit) {
            if (!behindCut.contains(machine.zone)) decommission(machine, "silent");
        } else if (!machine.acknowledged() && machine.allocations.empty() &&
                   now - machine.unacknowledgedSince >
                       silentLimit + ticks(context_.settings.lease)) {
            decommission(machine, "does not hear");
        } else if (machine.consolidating && machine.allocations.empty()) {
            decommission(machine, "emptied");
        } else if (machine.allocations.empty() && !machine.interruptionAt && !machine.lender &&
                   !machine.transferring && now >= machine.reservedUntil &&
                   now - machine.idleSince > idleLimit(machine, *type)) {
            decommission(machine, "idle");
        }
    }
    release();
}

}  // namespace fawnwheel::coordination
