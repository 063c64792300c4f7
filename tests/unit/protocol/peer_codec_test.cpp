#include "protocol/peer_codec.h"

#include <gtest/gtest.h>

#include <random>

namespace fawnwheel::protocol {
namespace {

template <typename Message>
Message roundTrip(const Message& message) {
    const auto decoded = decodePeer(encodePeer({"node-1", message}));
    EXPECT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->sender, "node-1");
    return std::get<Message>(decoded->message);
}

// Each field of each message must survive encoding and decoding; a field missing from the visitor
// would be lost.
TEST(PeerCodec, RoundTripsEveryField) {
    const auto status = roundTrip(PeerHeartbeat{
        ~0ULL, 127, true, false, 9, 10, 11, 12, true, false, 13, 15, {"run-4", "run-5"}});
    EXPECT_EQ(status.sentAt, ~0ULL);
    EXPECT_EQ(status.echo, 127U);
    EXPECT_TRUE(status.stateReachable);
    EXPECT_FALSE(status.ready);
    EXPECT_EQ(status.incarnation, 9U);
    EXPECT_EQ(status.applied, 10U);
    EXPECT_EQ(status.acknowledgedIncarnation, 11U);
    EXPECT_EQ(status.acknowledged, 12U);
    EXPECT_TRUE(status.cancellationsCovered);
    EXPECT_FALSE(status.complete);
    EXPECT_EQ(status.position, 13U);
    EXPECT_EQ(status.next, 15U);
    EXPECT_EQ(status.cancelled, (std::vector<std::string>{"run-4", "run-5"}));
    const auto request = roundTrip(MigrationRequest{300, 2, "run-1", 7, true, 100'000});
    EXPECT_EQ(request.requestId, 300U);
    EXPECT_EQ(request.partition, 2U);
    EXPECT_EQ(request.job, "run-1");
    EXPECT_EQ(request.slice, 7U);
    EXPECT_TRUE(request.wholeJob);
    EXPECT_EQ(request.tasks, 100'000U);
    EXPECT_TRUE(roundTrip(MigrationResponse{1, true}).accepted);
    const auto full = roundTrip(CapacityExhausted{"g8", "a", true, 8000});
    EXPECT_EQ(full.type, "g8");
    EXPECT_EQ(full.zone, "a");
    EXPECT_TRUE(full.spot);
    EXPECT_EQ(full.pauseMillis, 8000U);
    const auto loan = roundTrip(LoanRequest{1, 4, "run-2", "b", 12});
    EXPECT_EQ(loan.lender, 1U);
    EXPECT_EQ(loan.borrower, 4U);
    EXPECT_EQ(loan.job, "run-2");
    EXPECT_EQ(loan.zone, "b");
    EXPECT_EQ(loan.machines, 12U);
    const auto quota = roundTrip(QuotaRequest{3, 0, "run-3"});
    EXPECT_EQ(quota.lender, 3U);
    EXPECT_EQ(quota.borrower, 0U);
    EXPECT_EQ(quota.job, "run-3");
    EXPECT_EQ(roundTrip(JobCompleted{"run-4"}).job, "run-4");
    const auto update = roundTrip(
        DemandUpdate{2, {{}, {1500, 2000, 64'000, {"g8", "g4"}, "a", true, 12, true, 5, 99}}});
    EXPECT_EQ(update.partition, 2U);
    ASSERT_EQ(update.demands.size(), 2U);
    const auto& demand = update.demands[1];
    EXPECT_EQ(demand.cpus, 1500U);
    EXPECT_EQ(demand.gpus, 2000U);
    EXPECT_EQ(demand.memory, 64'000U);
    EXPECT_EQ(demand.types, (std::vector<std::string>{"g8", "g4"}));
    EXPECT_EQ(demand.zone, "a");
    EXPECT_TRUE(demand.spot);
    EXPECT_EQ(demand.tasks, 12U);
    EXPECT_TRUE(demand.indivisible);
    EXPECT_EQ(demand.urgency, 5U);
    EXPECT_EQ(demand.since, 99U);
    const auto leader = roundTrip(LeaderHeartbeat{status, {1, 3}, {70, 71}});
    EXPECT_EQ(leader.status.sentAt, ~0ULL);
    EXPECT_EQ(leader.status.cancelled, status.cancelled);
    EXPECT_EQ(leader.partitions, (std::vector<std::uint64_t>{1, 3}));
    EXPECT_EQ(leader.terms, (std::vector<std::uint64_t>{70, 71}));
}

// A frame of an unknown version or kind, with trailing bytes or cut short must not be decoded.
TEST(PeerCodec, RejectsUnknownVersionsKindsTruncationAndTrailingBytes) {
    auto frame = encodePeer({"n", MigrationResponse{1, true}});
    auto other = frame;
    other[0] = 9;
    EXPECT_FALSE(decodePeer(other));
    other = frame;
    other[1] = 100;
    EXPECT_FALSE(decodePeer(other));
    EXPECT_FALSE(decodePeer(frame + "x"));
    EXPECT_FALSE(decodePeer(""));
    for (std::size_t length = 0; length < frame.size(); ++length)
        EXPECT_FALSE(decodePeer(frame.substr(0, length)));
}

// A varint that does not fit into 64 bits must be refused.
TEST(PeerCodec, RejectsOverlongVarints) {
    VarintReader reader("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x7f");
    reader.number();
    EXPECT_FALSE(reader.ok());
}

// A list whose claimed length exceeds the frame must be refused; allocating the claimed length
// would exhaust the memory.
TEST(PeerCodec, RejectsListsLongerThanTheFrame) {
    auto frame = encodePeer({"n", PeerHeartbeat{}});
    frame.back() = '\x7f';  // the length of the list
    EXPECT_FALSE(decodePeer(frame));
    auto demands = encodePeer({"n", DemandUpdate{}});
    demands.back() = '\x7f';
    EXPECT_FALSE(decodePeer(demands));
    frame.pop_back();
    EXPECT_FALSE(decodePeer(frame + "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"));
}

// Random and damaged frames must not crash the decoder or make it read past the frame.
TEST(PeerCodec, HandlesRandomAndDamagedFrames) {
    std::mt19937 rng(42);
    const std::vector<std::string> valid{
        encodePeer({"node-1", MigrationRequest{300, 2, "run-1", 7, true, 5}}),
        encodePeer({"node-1", DemandUpdate{1, {{1, 2, 3, {"g8"}, "a", true, 4, true, 5, 6}}}})};
    for (int i = 0; i < 40'000; ++i) {
        std::string frame = valid[static_cast<std::size_t>(i / 2 % 2)];
        if (i % 2 == 0) frame.resize(rng() % 64);
        for (auto& c : frame)
            if (i % 2 == 0 || rng() % 8 == 0) c = static_cast<char>(rng());
        if (const auto decoded = decodePeer(frame)) {
            EXPECT_LE(decoded->sender.size(), frame.size());
        }
    }
}

}  // namespace
}  // namespace fawnwheel::protocol
