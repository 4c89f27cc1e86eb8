#include "config_codec.hpp"
#include "member_codec.hpp"
#include "rollout_codec.hpp"
#include "store_client.hpp"
#include "target_codec.hpp"

#include <knapweedchute/entry/entry_settings_reader.hpp>

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;

BOOST_AUTO_TEST_SUITE(platform_codec_suite)

BOOST_AUTO_TEST_CASE(config_complete_is_decoded)
{
    auto reason = error{};
    const auto table = platform::decode_config(
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","routeType":"idempotent",
            "timeoutMs":1000,"targetLatencyMs":60,"priority":2,"gather":["a","b"],
            "maxAttempts":2,"topK":5,"minCoverage":0.75},
            {"name":"w","host":"h","prefix":"/w/","routeType":"non_idempotent","timeoutMs":100,
            "trafficSplit":[{"service":"a","weight":3},{"service":"b","weight":1}]}],
            "services":[{"name":"a","maxConnections":26,"coldPerS":0.0}],
            "limits":{"maxHeaderBytes":1000,"idleTimeoutMs":15000}})",
        reason);
    BOOST_REQUIRE(table);
    const auto* query = table->find("h", "/p/x");
    BOOST_TEST(query->idempotent);
    BOOST_TEST(query->shards.size() == 2U);
    BOOST_TEST(query->min_coverage == 0.75);
    const auto* split = table->find("h", "/w/x");
    BOOST_TEST(!split->idempotent);
    BOOST_TEST(split->split.front().weight == 3.0);
    BOOST_TEST(split->max_targets == 1U);
    BOOST_TEST(table->rules("a").connections == 26);
    BOOST_TEST(table->limits().header_bytes == 1'000U);
}

BOOST_AUTO_TEST_CASE(config_with_an_invalid_field_reports_its_path)
{
    auto reason = error{};
    const auto table = platform::decode_config(
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","routeType":"idempotent",
            "timeoutMs":"soon","service":"a"}]})",
        reason);
    BOOST_TEST(!table);
    BOOST_TEST(reason.where == "/routes/0/timeoutMs");
}

BOOST_AUTO_TEST_CASE(target_invalid_entries_are_refused)
{
    const auto good =
        std::string{R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":2,)"
                    R"("state":"ready","coldRemainingMs":0,"sequence":4,"born":12})"};
    auto reason = error{};
    const auto record = platform::decode_target("i-1", good, {}, reason);
    BOOST_REQUIRE(record);
    BOOST_TEST(record->start_unix_ms == 12);
    for (
        const auto* bad :
        {"", "\xff\xfe", "[]", "{}", R"({"service":1})",
         R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":2,"state":"odd","coldRemainingMs":0})",
         R"({"service":"s","address":"nowhere","zone":"a","version":"v1","slots":2,"state":"ready","coldRemainingMs":0})"}) {
        BOOST_TEST(!platform::decode_target("i-1", bad, {}, reason).has_value());
    }
}

BOOST_AUTO_TEST_CASE(member_decoded_from_its_entry_is_joining)
{
    const auto self = member{"i1", "a", {1, 2}, {3, 4}, {5, 6}, 77, member_state::alive};
    auto reason = error{};
    const auto read = platform::decode_member("i1", platform::encode_member(self), reason);
    BOOST_REQUIRE(read);
    BOOST_TEST((read->peer_address == self.peer_address));
    BOOST_TEST((read->state == member_state::joining));
    BOOST_TEST(read->incarnation == 0U);
}

BOOST_AUTO_TEST_CASE(target_cold_time_counts_from_decoding)
{
    auto reason = error{};
    const auto record = platform::decode_target(
        "i-1",
        R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":2,"state":"ready","coldRemainingMs":400})",
        time_point{seconds{5}}, reason);
    BOOST_REQUIRE(record);
    BOOST_TEST((record->cold_until == time_point{milliseconds{5'400}}));
}

BOOST_AUTO_TEST_CASE(rollout_order_takes_the_revision_of_its_key)
{
    auto reason = error{};
    const auto order = platform::decode_rollout_order(
        "s", 17, R"({"service":"s","targetVersion":"v2","durationS":12.5})", reason);
    BOOST_REQUIRE(order);
    BOOST_TEST((*order == rollout_order{"s", "v2", milliseconds{12'500}, 17}));
    BOOST_TEST(!platform::decode_rollout_order("s", 17, R"({"durationS":1})", reason).has_value());
    BOOST_TEST(reason.where == "/targetVersion");
}

BOOST_AUTO_TEST_CASE(rollout_record_round_trips_with_the_state_names_of_the_operator)
{
    auto reason = error{};
    const auto ended = rollout_record{"v2", 17, 1'000, true, rollout_result::finished};
    const auto text = platform::encode_rollout_record(ended);
    BOOST_TEST((text.find(R"("state":"done")") != std::string::npos));
    BOOST_TEST((platform::decode_rollout_record(text, reason) == ended));
    const auto rolled_back = rollout_record{"v2", 17, 1'000, false, rollout_result::rolled_back};
    BOOST_TEST(
        (platform::encode_rollout_record(rolled_back).find("rolled_back") != std::string::npos));
    for (const auto* bad : {"", "[]", R"({"state":"odd","targetVersion":"v2"})"}) {
        BOOST_TEST(!platform::decode_rollout_record(bad, reason).has_value());
    }
}

BOOST_AUTO_TEST_CASE(value_invalid_base64_is_decoded_as_empty)
{
    BOOST_TEST(platform::decode_value("bm9kZS0x") == "node-1");
    BOOST_TEST(platform::decode_value("bm9kZQ==") == "node");
    BOOST_TEST(platform::decode_value("???").empty());
    BOOST_TEST(platform::decode_value("").empty());
}

BOOST_AUTO_TEST_CASE(settings_missing_or_invalid_fields_are_reported)
{
    auto reader = entry_settings_reader{};
    BOOST_TEST(!reader.read("{").has_value());
    BOOST_TEST(!reader.read(R"({"instance":"i","seeds":["x"],"extra_ratio":7})").has_value());
    const auto named = [&](const std::string& where) {
        return std::any_of(reader.faults().begin(), reader.faults().end(),
                           [&](const auto& fault) { return fault.where == where; });
    };
    BOOST_TEST(named("/store_address"));
    BOOST_TEST(named("/seeds/0"));
    BOOST_TEST(named("/extra_ratio"));
}

BOOST_AUTO_TEST_SUITE_END()
