/// @file
/// Tests of `Membership`: which cancellations a leader sends to its peers, how long it answers
/// workers while it may be missing cancellations, and which changes of leadership it reports.
#include "coordination/membership/membership.h"

#include "coordination/membership/membership_fixture.h"
#include "protocol/peer_codec.h"

namespace fawnwheel::coordination {
namespace {

using namespace std::chrono_literals;

class MembershipTest : public MembershipFixture {
  protected:
    MembershipTest() { replicaStatus.isSynced = true; }

    // Answers all requests of the node, applies the resulting records and reconciles.
    void catchUp() {
        serveAll();
        loadRecords();
        membership.reconcile();
    }
};

// Guards against answering users when only the first message of 256 cancellations has been sent to
// the peers, while hundreds of jobs are cancelled at once.
TEST_F(MembershipTest, PeersAreSentAllCancellationsBeforeUsersAreAnswered) {
    constexpr int cancelled = 700;
    for (int i = 0; i < cancelled; ++i)
        context.clusterState.lock()->recordCancellation("run-" + std::to_string(i), 1'000 + i);
    bool callbackCalled = false;
    std::set<std::string> received;
    membership.broadcastCancellations([&] {
        callbackCalled = true;
        for (const auto& [peer, payload] : state.frames) {
            const auto envelope = protocol::decodePeer(payload);
            ASSERT_TRUE(envelope);
            if (peer != "node-1") continue;
            const auto& status = std::get<protocol::PeerHeartbeat>(envelope->message);
            received.insert(status.cancelled.begin(), status.cancelled.end());
        }
    });
    timers.advance(1s);
    EXPECT_TRUE(callbackCalled);
    EXPECT_EQ(received.size(), static_cast<std::size_t>(cancelled));
}

// Guards against keeping unrecorded conclusions about a partition that another node has led in the
// meantime. The partition goes to node-1 and comes back before this node reconciles.
TEST_F(MembershipTest, RegainedPartitionIsReportedLostBeforeAcquired) {
    const auto& lost = observer.lost;
    const auto& acquired = observer.acquired;
    loadRecords();
    membership.start();
    catchUp();
    ASSERT_TRUE(lost.empty());
    ASSERT_EQ(std::count(acquired.begin(), acquired.end(), 0U), 1);
    putPartition(0, "node-1", 50);
    putPartition(0, "node-0", 51);
    loadRecords();
    membership.reconcile();
    EXPECT_EQ(lost, (std::vector<std::uint32_t>{0}));
    EXPECT_FALSE(membership.isLeader(0));
    // The first acquisition may fail because the acquisition of another partition has increased the
    // term counter; it is retried once the records have been read.
    catchUp();
    catchUp();
    EXPECT_TRUE(membership.isLeader(0));
    EXPECT_EQ(std::count(acquired.begin(), acquired.end(), 0U), 2);
}

// Guards against a node that takes itself for a partition's leader by an answer that arrives after
// the watch has delivered the next leader's acquisition.
TEST_F(MembershipTest, LateAnswerToAnAcquisitionDoesNotReplaceANewerRecord) {
    loadRecords();
    membership.start();
    const auto isAcquisition = [](const ManualStateService::Request& request) {
        return request.isTransaction() &&
               request.request.body.find(storage::keys::partition(0)) != std::string::npos &&
               request.request.body.find(storage::keys::term) != std::string::npos;
    };
    std::optional<ManualStateService::Request> acquisition;
    std::optional<transport::HttpResponse> answer;
    for (int round = 0; round < 100 && !acquisition; ++round) {
        timers.advance(20ms);
        for (const auto& request : std::exchange(state.pending, {})) {
            if (acquisition || !isAcquisition(request)) {
                state.serve(request);
                continue;
            }
            acquisition = request;
            answer = state.execute(request.request);
        }
        loadRecords();
        membership.reconcile();
    }
    ASSERT_TRUE(acquisition);
    ASSERT_EQ(answer->status, 200);
    putPartition(0, "node-1", 50);
    loadRecords();
    const auto newest = context.clusterState.lock()->partitions[0].version;
    acquisition->done(answer);
    const auto partition = context.clusterState.lock()->partitions[0];
    EXPECT_EQ(partition.leader, "node-1");
    EXPECT_EQ(partition.version, newest);
    EXPECT_FALSE(membership.isLeader(0));
}

class ShortCancelLimitTest : public MembershipTest {
  protected:
    ShortCancelLimitTest() {
        settings_.lease = Seconds(20);
        settings_.cancellationTimeout = Seconds(25);
    }
};

// A worker's lease renewed now lasts 20 s. A cancel limit of 25 s then leaves under 4 s in which
// cancellations may be missing, also for a leader whose own lease is valid. Guards against such a
// leader answering workers for 8 s.
TEST_F(ShortCancelLimitTest, LeaderWithLaggingReplicaStopsAnsweringWorkersWithinCancellationSlack) {
    membership.start();
    for (int i = 0; i < 10; ++i) {
        timers.advance(20ms);
        auto ready = std::exchange(state.pending, {});
        for (const auto& request : ready) state.serve(request);
    }
    ASSERT_TRUE(membership.isLeaseValid());
    replicaStatus.currentTime = context.now() - 1s;
    EXPECT_TRUE(membership.canAnswerWorkers(0));
    replicaStatus.currentTime = context.now() - 5s;
    EXPECT_FALSE(membership.canAnswerWorkers(0));
}

}  // namespace
}  // namespace fawnwheel::coordination
