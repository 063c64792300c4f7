// Compares the tasks on the machines, the records and the nodes' cluster states.
#include <spdlog/fmt/fmt.h>

#include "sim/simulation_internal.h"
#include "storage/records.h"

namespace fawnwheel::sim {

namespace {

constexpr Time watchPeriod{5.0};
constexpr Time heartbeatRound{10.0};  // longest between answered heartbeats, one response lost
constexpr Time settled{15.0};         // after a record changed, until every node has applied it
constexpr Time orphansDeleted{90.0};  // after their job ended, if the nodes write nothing else
constexpr auto slicePrefix = "live/slice/";
constexpr auto jobPrefix = "live/job/";

std::string allocationName(const std::string& job, std::uint32_t task, const std::string& machine,
                           std::uint64_t attempt) {
    return fmt::format("{}/{} {} {}", job, task, machine, attempt);
}

// The job id and slice index in the key of a slice record.
std::pair<std::string, std::uint32_t> sliceOfKey(const std::string& key) {
    const auto name = key.substr(std::string_view(slicePrefix).size());
    const auto slash = name.rfind('/');
    return {name.substr(0, slash), static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)))};
}

}  // namespace

std::set<std::string> Simulation::recordedAllocations() const {
    std::set<std::string> allocations;
    for (auto at = records_.lower_bound(slicePrefix);
         at != records_.end() && at->first.starts_with(slicePrefix); ++at) {
        const auto [job, index] = sliceOfKey(at->first);
        const auto live = records_.find(storage::keys::job(job));
        if (live == records_.end()) continue;
        const auto& value = at->second.value;
        const auto size = protocol::countOf(live->second.value, "slice", 1);
        const auto first = protocol::countOf(value, "first", index * size);
        for (const auto& allocation : protocol::listOf(value, "claims"))
            allocations.insert(allocationName(
                job, static_cast<std::uint32_t>(first + allocation[0].get<std::uint64_t>()),
                allocation[1].get<std::string>(), allocation[2].get<std::uint64_t>()));
    }
    return allocations;
}

void Simulation::checkAllocations() {
    const auto allocations = recordedAllocations();
    for (const auto& [id, w] : workers_) {
        if (w->terminated) continue;
        for (const auto& task : w->tasks)
            if (task.placed)
                checker_.observePlacement(
                    task.job, task.index, id,
                    allocations.contains(allocationName(task.job, task.index, id, task.attempt)),
                    spec_.lease + heartbeatRound, now_);
    }
    at(now_ + watchPeriod, [this] { checkAllocations(); });
}

void Simulation::audit() {
    if (now_ - checker_.faultFreeSince() < settled) return;
    for (auto at = records_.lower_bound(jobPrefix);
         at != records_.end() && at->first.starts_with(jobPrefix); ++at)
        auditJob(at->first.substr(std::string_view(jobPrefix).size()));
    auditOrphans();
    for (const auto& node : nodes_)
        if (node->controller && node->controller->synced()) auditClusterState(*node);
}

void Simulation::auditJob(const std::string& id) {
    // Builds the job from its records alone, as a node that starts up does.
    storage::ClusterState fresh;
    const auto apply = [&](const std::string& key, const Record& record) {
        storage::applyEvent(fresh, {key, record.value, record.version}, {});
    };
    apply(storage::keys::job(id), records_.at(storage::keys::job(id)));
    const auto prefix = slicePrefix + id + "/";
    for (auto at = records_.lower_bound(prefix);
         at != records_.end() && at->first.starts_with(prefix); ++at)
        apply(at->first, at->second);
    const auto* job = fresh.job(id);
    if (job == nullptr) return checker_.auditFailed(id + " has an unreadable record");
    std::vector<int> cover(job->spec.tasks, 0);
    for (const auto& slice : job->slices) {
        for (auto task = slice.first; task < slice.range().end(); ++task) ++cover[task];
        for (const auto& allocation : slice.allocations) {
            const auto machine = worker(allocation.machine);
            if (machine == nullptr)
                checker_.auditFailed(id + " has an allocation on unknown machine " +
                                     allocation.machine);
        }
    }
    for (std::size_t task = 0; task < cover.size(); ++task)
        if (cover[task] != 1)
            return checker_.auditFailed(
                fmt::format("{}/{} is in {} slices of the records", id, task, cover[task]));
}

void Simulation::auditOrphans() {
    if (now_ - checker_.faultFreeSince() < orphansDeleted) return;
    for (auto at = records_.lower_bound(slicePrefix);
         at != records_.end() && at->first.starts_with(slicePrefix); ++at) {
        const auto job = sliceOfKey(at->first).first;
        const auto final = records_.find(storage::keys::terminal(job));
        if (final != records_.end() && now_ - final->second.changedAt > orphansDeleted)
            checker_.auditFailed(at->first + " still exists although its job ended");
    }
}

void Simulation::auditClusterState(Node& node) {
    auto clusterState = node.controller->clusterState().lock();
    for (const auto& [id, job] : clusterState->jobs) {
        const auto live = records_.find(storage::keys::job(id));
        if (live == records_.end() || now_ - live->second.changedAt < settled) continue;
        for (const auto& slice : job.slices)
            if (slice.version > 0 && !records_.contains(storage::keys::slice(id, slice.index)))
                checker_.auditFailed(
                    fmt::format("{}/{} of a live job has no record", id, slice.index));
    }
    for (auto at = records_.lower_bound(slicePrefix);
         at != records_.end() && at->first.starts_with(slicePrefix); ++at) {
        if (now_ - at->second.changedAt < settled) continue;
        const auto [id, index] = sliceOfKey(at->first);
        const auto* job = clusterState->job(id);
        const auto live = records_.find(storage::keys::job(id));
        if (live == records_.end() || now_ - live->second.changedAt < settled) continue;
        if (job == nullptr || index >= job->slices.size()) {
            checker_.auditFailed(node.name + " has no slice for record " + at->first);
            continue;
        }
        const auto& slice = job->slices[index];
        if (slice.version != at->second.version)
            checker_.auditFailed(fmt::format("{} has {} at version {}, not {}", node.name,
                                             at->first, slice.version, at->second.version));
        else if (!slice.dirty && storage::sliceValue(slice) != at->second.value)
            checker_.auditFailed(
                fmt::format("{} has {} with value {}, not the recorded {}", node.name, at->first,
                            storage::sliceValue(slice).dump(), at->second.value.dump()));
    }
}

}  // namespace fawnwheel::sim
