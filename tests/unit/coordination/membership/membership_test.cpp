/// @file
/// What a leader tells its peers of cancellations, how long it answers workers without news of
/// them, and what it reports of its partitions.
#include "coordination/membership/membership.h"

#include "coordination/membership/membership_fixture.h"
#include "protocol/peer_codec.h"

namespace fawnwheel::coordination {
namespace {

using namespace std::chrono_literals;

class MembershipTest : public MembershipFixture {
  protected:
    MembershipTest() { replicaStatus.isSynced = true; }

    // Its calls are answered, and the records are known as they stand after that.
    void catchUp() {
        serveAll();
        loadRecords();
        membership.reconcile();
    }
};

// Users were once answered after the first message, of 256, also where hundreds of jobs were called
// off at once.
TEST_F(MembershipTest, PeersHearOfAllCancellationsBeforeTheirUsersDo) {
    constexpr int cancelled = 700;
    for (int i = 0; i < cancelled; ++i)
        context.clusterState.lock()->recordCancellation("run-" + std::to_string(i), 1'000 + i);
    bool told = false;
    std::set<std::string> heard;
    membership.broadcastCancellations([&] {
        told = true;
        for (const auto& [peer, payload] : state.frames) {
            const auto envelope = protocol::decodePeer(payload);
            ASSERT_TRUE(envelope);
            if (peer != "node-1") continue;
            const auto& status = std::get<protocol::PeerHeartbeat>(envelope->message);
            heard.insert(status.cancelled.begin(), status.cancelled.end());
        }
    });
    timers.advance(1s);
    EXPECT_TRUE(told);
    EXPECT_EQ(heard.size(), static_cast<std::size_t>(cancelled));
}

// What was concluded as a partition's leader is void once another has owned it, also if the
// partition has come back before anybody looked.
TEST_F(MembershipTest, APartitionThatWasAwayForAWhileIsLostFirst) {
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
    // The first acquisition may lose the counter of terms to another partition's, and waits for the
    // records.
    catchUp();
    catchUp();
    EXPECT_TRUE(membership.isLeader(0));
    EXPECT_EQ(std::count(acquired.begin(), acquired.end(), 0U), 2);
}

class ShortCancelLimit : public MembershipTest {
  protected:
    ShortCancelLimit() {
        settings_.lease = Seconds(20);
        settings_.cancel = Seconds(25);
    }
};

// A lease renewed now lasts 20 s; of 25 s that leaves under 4 s in which news may be missing, also
// for a leader whose own lease stands. It once waited 8 s.
TEST_F(ShortCancelLimit, ALaggingLeaderAnswersNoWorkerForLongerThanTheSlackLeft) {
    membership.start();
    for (int i = 0; i < 10; ++i) {
        timers.advance(20ms);
        auto ready = std::exchange(state.pending, {});
        for (const auto& request : ready) state.serve(request);
    }
    ASSERT_TRUE(membership.isLeaseValid());
    replicaStatus.current = context.now() - 1s;
    EXPECT_TRUE(membership.canAnswerWorkers(0));
    replicaStatus.current = context.now() - 5s;
    EXPECT_FALSE(membership.canAnswerWorkers(0));
}

}  // namespace
}  // namespace fawnwheel::coordination
