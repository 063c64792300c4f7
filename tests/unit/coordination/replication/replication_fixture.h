/// @file
/// A fixture for tests of what a leader records.
#pragma once

#include <gtest/gtest.h>

#include "coordination/replication/manual_state_service.h"
#include "coordination/replication/replica.h"
#include "coordination/replication/state_writer.h"
#include "storage/records.h"

namespace fawnwheel::coordination {

/// Ignores everything that the replica and the state writer announce.
class IgnoringObserver final : public ReplicaObserver, public StateWriterObserver {
  public:
    void onReplicaChanged() override {}
    void onJobTerminal(const std::string&, bool) override {}
    void onDependentsCancelled() override {}
    void onAllocationsDurable(const std::set<std::string>&) override {}
};

/// Node 0 of three, the leader of partitions 0 and 1, with its records, replica, transaction
/// pipeline and state writer.
class ReplicationTest : public ::testing::Test {
  protected:
    explicit ReplicationTest(double valueKb = 16, std::size_t writes = 12)
        : settings_(makeSettings(valueKb, writes)),
          context(settings_, operators_, timers, state, 1),
          pipeline(context),
          stateWriter(context, pipeline, observer_),
          replica(context, pipeline, observer_) {
        for (const auto* node : {"node-0", "node-1", "node-2"})
            state.put(storage::keys::jobDependenciesGate(node), storage::featureGateValue());
        for (std::uint32_t partition = 0; partition < 3; ++partition)
            putPartition(partition, partition < 2 ? "node-0" : "node-2", 1);
    }

    static config::Settings makeSettings(double valueKb, std::size_t writes) {
        config::Settings made;
        made.name = "node-0";
        made.peers = {{"node-1", "a", ""}, {"node-2", "a", ""}};
        made.state = "state";
        made.stateRequests = 100'000;
        made.stateWrites = 100'000;
        made.valueKb = valueKb;
        made.transactionChanges = writes;
        return made;
    }

    void putPartition(std::uint32_t partition, const std::string& node, std::uint64_t term) {
        state.put(storage::keys::partition(partition),
                  storage::partitionValue(storage::Partition{node, term, 0}));
    }
    static Job makeJob(std::uint32_t tasks, std::uint32_t sliceSize) {
        Job job;
        job.spec.id = "run-1";
        job.spec.jobClass = "c";
        job.spec.team = "t";
        job.spec.tasks = tasks;
        job.spec.each = {1, 0, 1};
        job.spec.image = "i";
        job.sliceSize = sliceSize;
        job.slices = storage::makeSlices(job.spec, sliceSize, 0);
        return job;
    }
    static Allocation makeAllocation(std::uint32_t task, const std::string& machine,
                                     std::uint64_t attempt) {
        Allocation allocation;
        allocation.task = task;
        allocation.machine = machine;
        allocation.attempt = attempt;
        return allocation;
    }
    void putJob(const Job& job) {
        state.put(storage::keys::job(job.spec.id), storage::jobValue(job));
    }
    void putSlice(const Job& job, const Slice& slice) {
        state.put(storage::keys::slice(job.spec.id, slice.index), storage::sliceValue(slice));
    }
    /// Applies the records as they stand, without the replica.
    void loadRecords() {
        auto clusterState = context.clusterState.lock();
        for (const auto& [key, record] : state.records)
            storage::applyEvent(*clusterState, {key, record.value, record.version}, context.now());
        clusterState->appliedRevision = state.revision;
    }
    /// Answers all requests that wait, as often as new ones come; watches only for the first half
    /// of the rounds, because each answer brings the next one.
    void serveAll() {
        for (int round = 0; round < 200; ++round) {
            timers.advance(std::chrono::milliseconds(50));
            std::vector<ManualStateService::Request> ready;
            for (auto request = state.pending.begin(); request != state.pending.end();) {
                if (request->isWatch() && round > 100) {
                    ++request;
                    continue;
                }
                ready.push_back(std::move(*request));
                request = state.pending.erase(request);
            }
            for (const auto& request : ready) state.serve(request);
        }
    }
    /// How many slices of the cluster state cover each task of the job.
    std::vector<int> slicesPerTaskInClusterState(const std::string& id) {
        auto clusterState = context.clusterState.lock();
        const Job* job = clusterState->job(id);
        if (job == nullptr) return {};
        std::vector<int> cover(job->spec.tasks, 0);
        for (const auto& slice : job->slices)
            for (auto task = slice.first; task < slice.range().end(); ++task) ++cover.at(task);
        return cover;
    }
    /// The same by the records, for a reader that has nothing else.
    std::vector<int> slicesPerTaskInRecords(const std::string& id) {
        storage::ClusterState fresh;
        for (const auto& [key, record] : state.records)
            storage::applyEvent(fresh, {key, record.value, record.version}, context.now());
        const Job* job = fresh.job(id);
        if (job == nullptr) return {};
        std::vector<int> cover(job->spec.tasks, 0);
        for (const auto& slice : job->slices)
            for (auto task = slice.first; task < slice.range().end(); ++task) ++cover.at(task);
        return cover;
    }
    std::size_t sliceRecords(const std::string& id) {
        return static_cast<std::size_t>(
            std::count_if(state.records.begin(), state.records.end(), [&id](const auto& entry) {
                return entry.first.starts_with("live/slice/" + id + "/");
            }));
    }

    ManualTimers timers;
    ManualStateService state;
    config::OperatorSettings operators_;
    config::Settings settings_;
    Context context;
    IgnoringObserver observer_;
    TransactionPipeline pipeline;
    StateWriter stateWriter;
    Replica replica;
};

}  // namespace fawnwheel::coordination
