// Compatibility with the version in production, byte for byte: during an upgrade both versions use
// the same records and exchange the same frames. That version wrote the texts below. A failure here
// means that the two versions can no longer read each other's records or frames.
#include <gtest/gtest.h>

#include "protocol/peer_codec.h"
#include "storage/records.h"

namespace fawnwheel::storage {
namespace {

constexpr auto jobText =
    R"({"cancelled":false,"part":2,"slice":4,"spec":{"apart":false,"breeds":["g8"],"cache_s":4.0,)"
    R"("coat":"img-07","cores":8.0,"dusk_s":900.0,"gait":"batch","gpus":1.0,"herd":"train",)"
    R"("hooves":10,"id":"run-000412","image_gb":6.2,"keeper":"vision","meadow":"a","mem_gb":64.0,)"
    R"("rank":"urgent","rest_s":30.0,"strays":true,"stride_s":240.0,"together":false},)"
    R"("submitted":1700000000123})";
constexpr auto sliceText =
    R"({"claims":[[2,"m-000231",17592186044417]],"done":[[0,1],[3,3]],"part":1})";
constexpr auto machineText = R"({"part":2,"retired":false,"spot":true,"type":"g8","zone":"a"})";
constexpr auto lentMachineText =
    R"({"floor":720897,"lender":1,"part":2,"retired":true,"spot":false,"type":"g8","zone":"b"})";
constexpr auto partitionText = R"({"owner":"spoke-1","term":11})";
constexpr auto quotaText = R"({"shares":[[1.5,24.0],[0.0,64.0]]})";
constexpr auto catalogText =
    R"({"breeds":[{"cache_gb":200.0,"cores":96.0,"gpus":8.0,"market_price":4.5,"meadows":["a","b"],)"
    R"("mem_gb":768.0,"name":"g8","price":12.0,"pull_gb_per_s":1.0,"ready_s":45.0}]})";
constexpr auto finalText = R"({"cancelled":true})";

class RecordCompatibility : public ::testing::Test {
  protected:
    void put(const std::string& key, const std::string& text, std::uint64_t version) {
        applyEvent(clusterState, {key, Json::parse(text), version}, {});
    }
    void putJob() { put("live/job/run-000412", jobText, 5); }

    ClusterState clusterState;
};

TEST_F(RecordCompatibility, KeysMatchProduction) {
    EXPECT_STREQ(keys::activePrefix, "live/");
    EXPECT_STREQ(keys::term, "live/term");
    EXPECT_STREQ(keys::catalog, "live/catalog");
    EXPECT_EQ(keys::job("run-1"), "live/job/run-1");
    EXPECT_EQ(keys::slice("run-1", 3), "live/slice/run-1/3");
    EXPECT_EQ(keys::machine("m-1"), "live/machine/m-1");
    EXPECT_EQ(keys::partition(3), "live/part/3");
    EXPECT_EQ(keys::node("spoke-1"), "live/node/spoke-1");
    EXPECT_EQ(keys::quota("crew"), "live/share/crew");
    EXPECT_EQ(keys::terminal("run-1"), "final/run-1");
}

TEST_F(RecordCompatibility, JobRoundTripsUnchanged) {
    putJob();
    const Job* job = clusterState.job("run-000412");
    ASSERT_NE(job, nullptr);
    EXPECT_EQ(job->partition, 2U);
    EXPECT_EQ(job->spec.tasks, 10U);
    ASSERT_EQ(job->slices.size(), 3U);
    EXPECT_EQ(job->slices[2].done.size(), 2U);
    EXPECT_EQ(jobValue(*job).dump(), jobText);
}

TEST_F(RecordCompatibility, SliceRoundTripsUnchanged) {
    putJob();
    put("live/slice/run-000412/1", sliceText, 6);
    const Slice& slice = clusterState.job("run-000412")->slices[1];
    EXPECT_EQ(slice.partition, 1U);
    EXPECT_EQ(slice.doneCount, 3U);
    ASSERT_EQ(slice.allocations.size(), 1U);
    EXPECT_EQ(slice.allocations.front().task, 6U);
    EXPECT_EQ(slice.allocations.front().machine, "m-000231");
    EXPECT_EQ(slice.allocations.front().attempt, 17592186044417U);
    EXPECT_EQ(sliceValue(slice).dump(), sliceText);
}

TEST_F(RecordCompatibility, MachinesRoundTripUnchanged) {
    put("live/machine/m-000231", machineText, 7);
    put("live/machine/m-000232", lentMachineText, 8);
    EXPECT_EQ(machineValue(*clusterState.machine("m-000231")).dump(), machineText);
    EXPECT_EQ(machineValue(*clusterState.machine("m-000232")).dump(), lentMachineText);
    EXPECT_EQ(clusterState.machine("m-000232")->lender, 1U);
    EXPECT_EQ(clusterState.machine("m-000232")->minFencingToken, 720897U);
    EXPECT_TRUE(clusterState.machine("m-000232")->decommissioned);
}

TEST_F(RecordCompatibility, PartitionsQuotasTermsCatalogAndTerminalsRoundTripUnchanged) {
    put("live/part/2", partitionText, 9);
    put("live/share/vision", quotaText, 10);
    put("live/term", R"({"term":11})", 11);
    put("live/catalog", catalogText, 12);
    put("live/node/spoke-1", R"({"term":10})", 13);
    EXPECT_EQ(partitionValue(clusterState.partitions[2]).dump(), partitionText);
    EXPECT_EQ(quotaValue(clusterState.quotas["vision"]).dump(), quotaText);
    EXPECT_EQ(clusterState.lastTerm, 11U);
    EXPECT_EQ(catalogValue(clusterState.catalog).dump(), catalogText);
    EXPECT_TRUE(clusterState.nodes.contains("spoke-1"));
    EXPECT_TRUE(readTerminal(Json::parse(finalText)).cancelled);
    EXPECT_EQ(terminalValue({true, std::nullopt}).dump(), finalText);
    EXPECT_FALSE(readTerminal(Json::parse(R"({"cancelled":false})")).cancelled);
}

// The version in production ignores keys, fields and slices that it does not know. Newer versions
// rely on that.

TEST_F(RecordCompatibility, IgnoresUnknownKeys) {
    putJob();
    put("live/upgraded/spoke-1", R"({"formats":1})", 6);
    put("live/unheard-of", R"([1,2])", 7);
    EXPECT_EQ(clusterState.jobs.size(), 1U);
    EXPECT_TRUE(clusterState.machines.empty());
    EXPECT_TRUE(clusterState.nodes.empty());
}

TEST_F(RecordCompatibility, IgnoresUnknownFields) {
    auto value = Json::parse(jobText);
    value["more"] = "text";
    value["spec"]["unheard_of"] = {"run-1"};
    put("live/job/run-000412", value.dump(), 5);
    value = Json::parse(sliceText);
    value["more"] = 7;
    put("live/slice/run-000412/1", value.dump(), 6);
    EXPECT_EQ(jobValue(*clusterState.job("run-000412")).dump(), jobText);
    EXPECT_EQ(sliceValue(clusterState.job("run-000412")->slices[1]).dump(), sliceText);
    EXPECT_TRUE(readTerminal(Json::parse(R"({"cancelled":true,"at":1700000000123})")).cancelled);
}

TEST_F(RecordCompatibility, IgnoresSlicesBeyondTheJob) {
    // The version in production writes slices without a range.
    putJob();
    put("live/slice/run-000412/3", sliceText, 6);
    EXPECT_EQ(clusterState.job("run-000412")->slices.size(), 3U);
}

std::string fromHex(std::string_view hex) {
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
        bytes.push_back(static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16)));
    return bytes;
}

std::string toHex(std::string_view bytes) {
    static constexpr auto digits = "0123456789abcdef";
    std::string hex;
    for (const char c : bytes) {
        hex.push_back(digits[static_cast<unsigned char>(c) >> 4U]);
        hex.push_back(digits[static_cast<unsigned char>(c) & 15U]);
    }
    return hex;
}

struct EncodedFrame {
    const char* name;
    const char* hex;
};

constexpr EncodedFrame frames[] = {
    {"peer heartbeat",
     "01000773706f6b652d31ac0207010009ac020b0c01000d0f020572756e2d340572756e2d35"},
    {"migration request", "01010773706f6b652d31ac02020572756e2d310701a08d06"},
    {"migration response", "01020773706f6b652d31ac0201"},
    {"capacity exhausted", "01030773706f6b652d31026738016101c03e"},
    {"loan request", "01040773706f6b652d3101040572756e2d3201620c"},
    {"quota request", "01050773706f6b652d3103000572756e2d33"},
};

TEST(PeerFrameCompatibility, FramesRoundTripUnchanged) {
    for (const auto& [name, hex] : frames) {
        const auto envelope = protocol::decodePeer(fromHex(hex));
        ASSERT_TRUE(envelope.has_value()) << name;
        EXPECT_EQ(envelope->sender, "spoke-1") << name;
        EXPECT_EQ(toHex(protocol::encodePeer(*envelope)), hex) << name;
    }
}

// Frames with additional bytes, an unknown message index or another codec version must be rejected.
TEST(PeerFrameCompatibility, RejectsUnknownMessagesVersionsAndExtraBytes) {
    for (const auto& [name, hex] : frames)
        EXPECT_FALSE(protocol::decodePeer(fromHex(std::string(hex) + "00"))) << name;
    EXPECT_FALSE(protocol::decodePeer(fromHex("01630773706f6b652d3101")));
    EXPECT_FALSE(protocol::decodePeer(fromHex("02020773706f6b652d31ac0201")));
}

}  // namespace
}  // namespace fawnwheel::storage
