#include "config_codec.hpp"
#include "experiment_config.hpp"
#include "member_codec.hpp"
#include "rollout_codec.hpp"
#include "target_codec.hpp"

#include <knapweedchute/admission/service_capacity.hpp>
#include <knapweedchute/entry/entry_settings_reader.hpp>
#include <knapweedchute/feed/feed_event.hpp>
#include <knapweedchute/wire/envelope.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace knapweedchute;

namespace {

/// Valid documents; each input that ever failed is added here.
const auto corpus = std::vector<std::string>{
    R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","routeType":"idempotent",)"
    R"("timeoutMs":1000,"targetLatencyMs":60,"priority":2,"gather":["a","b"],"maxAttempts":2,)"
    R"("topK":5,"minCoverage":0.75},{"name":"w","host":"h","prefix":"/w/","routeType":)"
    R"("non_idempotent","timeoutMs":100,"trafficSplit":[{"service":"a","weight":3}]}],)"
    R"("services":[{"name":"a","maxConnections":26,"coldPerS":0.5}],)"
    R"("limits":{"maxHeaderBytes":1000,"idleTimeoutMs":15000}})",
    R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":2,)"
    R"("state":"ready","coldRemainingMs":10,"sequence":4,"born":12})",
    R"({"service":"s","targetVersion":"v2","durationS":14})",
    R"({"state":"running","targetVersion":"v2"})"};

/// Values that replace a number of a document.
const auto odd_numbers = std::vector<std::string>{"-1",
                                                  "0",
                                                  "1e300",
                                                  "1e999",
                                                  "99999999999999999999999",
                                                  "9223372036854775807",
                                                  "-9223372036854775808",
                                                  "18446744073709551615",
                                                  "0.5",
                                                  "null",
                                                  "[]",
                                                  "\"\""};

auto decode_all(const std::string& text) -> void
{
    auto reason = error{};
    const auto now = time_point{seconds{1'000}};
    if (const auto table = platform::decode_config(text, reason)) {
        auto registry = target_registry{};
        const auto capacity = service_capacity{registry};
        for (const auto& entry : table->routes()) {
            static_cast<void>(capacity.slots_of(entry, entry.shards));
            static_cast<void>(table->find(entry.host, entry.prefix));
        }
    }
    static_cast<void>(platform::decode_target("i-1", text, now, reason));
    static_cast<void>(platform::decode_member("m", text, reason));
    static_cast<void>(platform::decode_rollout_order("s", 3, text, reason));
    static_cast<void>(platform::decode_rollout_record(text, reason));
    static_cast<void>(entry_settings_reader{}.read(text));
    const auto codec = envelope{"d", message_key{"0123456789abcdef"}};
    static_cast<void>(codec.decode<feed_page>(text, reason));
    try {
        static_cast<void>(emulator::parse_experiment(text, "test"));
    } catch (const emulator::config_error&) {
    }
}

/// Replaces the number at or after a position.
auto with_number(std::string text, std::size_t position, const std::string& number) -> std::string
{
    const auto first = text.find_first_of("0123456789", position % text.size());
    if (first == std::string::npos) {
        return text;
    }
    const auto last = text.find_first_not_of("0123456789.", first);
    return text.replace(first, last == std::string::npos ? last : last - first, number);
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_codec_fuzz_suite)

BOOST_AUTO_TEST_CASE(decoders_random_bytes_do_not_crash)
{
    BOOST_TEST(rc::check([](const std::string& bytes) { decode_all(bytes); }));
}

BOOST_AUTO_TEST_CASE(decoders_mutated_documents_do_not_crash)
{
    BOOST_TEST(rc::check([](std::uint32_t position, char byte, bool cut) {
        for (auto text : corpus) {
            const auto at = position % text.size();
            text[at] = byte;
            decode_all(cut ? text.substr(0, at) : text);
        }
    }));
}

BOOST_AUTO_TEST_CASE(decoders_documents_with_odd_numbers_do_not_crash)
{
    for (const auto& text : corpus) {
        for (const auto& number : odd_numbers) {
            for (auto position = std::size_t{0}; position < text.size(); ++position) {
                decode_all(with_number(text, position, number));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
