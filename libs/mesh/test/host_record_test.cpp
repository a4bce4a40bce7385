#include "lavenderhoist/mesh/host_record.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace lavenderhoist::mesh {
namespace {

host_record sample() {
    host_record record;
    record.id = "host";
    record.data_centre = "a";
    record.call_address = {"10.0.0.1", 7'620};
    record.service = "back";
    record.target_id = "target";
    record.target_started_at_ms = 5;
    record.slots = 10;
    record.state = target_state::ready;
    record.quarantined = {{7, 8, milliseconds(9)}, {7, 9, milliseconds(10)}};
    return record;
}

std::string with(const std::string& from, const std::string& to) {
    std::string text = encode(sample());
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST(host_record, survives_its_encoding) {
    EXPECT_EQ(decode_host_record(encode(sample())), sample());
}

TEST(host_record, of_an_earlier_version_has_no_quarantine) {
    auto record = sample();
    record.quarantined.clear();
    const auto text = encode(record);
    EXPECT_EQ(text.find("quarantined"), std::string::npos);
    EXPECT_EQ(decode_host_record(text), record);
}

// Another writer's record must neither end the process nor name a host.
TEST(host_record, an_odd_one_is_rejected) {
    constexpr int levels = 100'000;
    const std::vector<std::string> odd{
        std::string(levels, '[') + std::string(levels, ']'),
        with("\"back\"", std::string(levels, '[') + std::string(levels, ']')),
        with("7620", "76200"),
        with("7620", "0"),
        with("7620", "-1"),
        with("10.0.0.1", "no-address"),
        with("\"slots\":10", "\"slots\":99999999999999999999"),
        with("\"slots\":10", "\"slots\":1e400"),
        with("\"slots\":10", "\"slots\":-1"),
        with("\"slots\":10", "\"slots\":4294967297"),
        with("\"born_ms\":5", "\"born_ms\":1e300"),
        with("\"ready\"", "\"asleep\""),
        "",
        "{}",
    };
    for (const auto& text : odd) {
        EXPECT_FALSE(decode_host_record(text)) << text.substr(0, 200);
    }
}

RC_GTEST_PROP(host_record, a_damaged_one_does_not_throw, ()) {
    auto text = encode(sample());
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto count = *rc::gen::inRange<std::size_t>(0, 20);
    text.replace(at, count, *rc::gen::arbitrary<std::string>());
    const auto decoded = decode_host_record(text);
    RC_ASSERT((!decoded || decoded->slots >= 0));
}

} // namespace lavenderhoist::mesh
