/// @file
/// A fixture for tests of the records that a leader writes.
#pragma once

#include <gtest/gtest.h>

#include "coordination/replication/manual_state_service.h"
#include "coordination/replication/replica.h"
#include "coordination/replication/state_writer.h"
#include "storage/records.h"

namespace fawnwheel::coordination {

/// Ignores all notifications of the replica and the state writer.
class NullObserver final : public ReplicaObserver, public StateWriterObserver {
  public:
    void onReplicaChanged() override {}
    void onJobTerminal(const std::string&, bool) override {}
    void onDependentsCancelled() override {}
    void onAllocationsDurable(const std::set<std::string>&) override {}
};

/// Node 0 of three nodes, which leads partitions 0 and 1, with a state service that holds its
/// records, and with its replica, transaction pipeline and state writer.
class ReplicationTest : public ::testing::Test {
  protected:
    explicit ReplicationTest(double valueKb = 16, std::size_t writes = 12)
        : settings_(makeSettings(valueKb, writes)),
          context(settings_, operatorSettings_, timers, state, 1),
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
        made.stateAddress = "state";
        made.stateRequestsPerSecond = 100'000;
        made.stateWritesPerSecond = 100'000;
        made.maxValueKb = valueKb;
        made.maxTransactionWrites = writes;
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
        job.spec.taskResources = {1, 0, 1};
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
    /// Applies the present records to the cluster state directly, without the replica.
    void loadRecords() {
        auto clusterState = context.clusterState.lock();
        for (const auto& [key, record] : state.records)
            storage::applyEvent(*clusterState, {key, record.value, record.version}, context.now());
        clusterState->appliedRevision = state.revision;
    }
    /// Starts a resync and executes its first read. The caller delivers the response.
    std::pair<ManualStateService::Request, transport::HttpResponse> executeFirstPageOfResync() {
        replica.resync();
        timers.advance(std::chrono::milliseconds(20));
        EXPECT_EQ(state.pending.size(), 1U);
        auto page = state.pending.front();
        state.pending.clear();
        auto response = state.execute(page.request);
        return {std::move(page), std::move(response)};
    }
    /// Serves all pending requests in 200 rounds, so that requests sent in response are served too.
    /// Watches are served only in the first half of the rounds, because each response to a watch
    /// causes the next watch.
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
    /// For each task of the job, the number of slices in the cluster state that contain the task.
    std::vector<int> slicesPerTaskInClusterState(const std::string& id) {
        auto clusterState = context.clusterState.lock();
        const Job* job = clusterState->job(id);
        if (job == nullptr) return {};
        std::vector<int> sliceCounts(job->spec.tasks, 0);
        for (const auto& slice : job->slices)
            for (auto task = slice.first; task < slice.range().end(); ++task)
                ++sliceCounts.at(task);
        return sliceCounts;
    }
    /// The same for a cluster state that is built from the records alone.
    std::vector<int> slicesPerTaskInRecords(const std::string& id) {
        storage::ClusterState fresh;
        for (const auto& [key, record] : state.records)
            storage::applyEvent(fresh, {key, record.value, record.version}, context.now());
        const Job* job = fresh.job(id);
        if (job == nullptr) return {};
        std::vector<int> sliceCounts(job->spec.tasks, 0);
        for (const auto& slice : job->slices)
            for (auto task = slice.first; task < slice.range().end(); ++task)
                ++sliceCounts.at(task);
        return sliceCounts;
    }
    std::size_t sliceRecordCount(const std::string& id) {
        return static_cast<std::size_t>(
            std::count_if(state.records.begin(), state.records.end(), [&id](const auto& entry) {
                return entry.first.starts_with("live/slice/" + id + "/");
            }));
    }

    ManualTimers timers;
    ManualStateService state;
    config::OperatorSettings operatorSettings_;
    config::Settings settings_;
    Context context;
    NullObserver observer_;
    TransactionPipeline pipeline;
    StateWriter stateWriter;
    Replica replica;
};

}  // namespace fawnwheel::coordination
