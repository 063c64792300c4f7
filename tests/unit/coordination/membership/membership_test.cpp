// What a leader tells its peers of cancellations, and how long it answers workers without news of
// them.
#include "coordination/membership/membership.h"

#include "coordination/replication/record_bench.h"
#include "protocol/peer_codec.h"

namespace fawnwheel::coordination {
namespace {

using namespace std::chrono_literals;

class MembershipBench : public RecordBench {
  protected:
    MembershipBench() : membership(context) {
        membership.synced = [] { return true; };
        membership.everSynced = [] { return true; };
        membership.recordsCurrentAsOf = [this] { return current; };
    }

    // Its calls are answered, and the records are known as they stand after that.
    void catchUp() {
        serveAll();
        load();
        membership.reconcile();
    }

    Membership membership;
    SteadyTime current{};
};

// Users were once answered after the first message, of 256, also where hundreds of jobs were called
// off at once.
TEST_F(MembershipBench, PeersHearOfAllCancellationsBeforeTheirUsersDo) {
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
TEST_F(MembershipBench, APartitionThatWasAwayForAWhileIsLostFirst) {
    std::vector<std::uint32_t> lost;
    std::vector<std::uint32_t> active;
    membership.onLost = [&](std::uint32_t number) { lost.push_back(number); };
    membership.onActive = [&](std::uint32_t number) { active.push_back(number); };
    load();
    membership.start();
    catchUp();
    ASSERT_TRUE(lost.empty());
    ASSERT_EQ(std::count(active.begin(), active.end(), 0U), 1);
    own(0, "node-1", 50);
    own(0, "node-0", 51);
    load();
    membership.reconcile();
    EXPECT_EQ(lost, (std::vector<std::uint32_t>{0}));
    EXPECT_FALSE(membership.isLeader(0));
    // The first acquisition may lose the counter of terms to another partition's, and waits for the
    // records.
    catchUp();
    catchUp();
    EXPECT_TRUE(membership.isLeader(0));
    EXPECT_EQ(std::count(active.begin(), active.end(), 0U), 2);
}

class ShortCancelLimit : public MembershipBench {
  protected:
    ShortCancelLimit() {
        settings_.lease = Seconds(20);
        settings_.cancel = Seconds(25);
    }
};

// A lease renewed now lasts 20 s; of 25 s that leaves under 4 s in which news may be missing, also
// for a leader whose own lease stands. It once waited 8 s.
TEST_F(ShortCancelLimit, AnLeaderThatLagsAnswersNoWorkerForLongerThanTheSlackLeft) {
    membership.start();
    for (int i = 0; i < 10; ++i) {
        timers.advance(20ms);
        auto ready = std::exchange(state.pending, {});
        for (const auto& request : ready) state.serve(request);
    }
    ASSERT_TRUE(membership.isLeaseValid());
    current = context.now() - 1s;
    EXPECT_TRUE(membership.canAnswerWorkers(0));
    current = context.now() - 5s;
    EXPECT_FALSE(membership.canAnswerWorkers(0));
}

}  // namespace
}  // namespace fawnwheel::coordination
