#include <knapweedchute/config/operators_file_reader.hpp>
#include <knapweedchute/config/settings_reader.hpp>
#include <knapweedchute/core/request_id.hpp>
#include <knapweedchute/membership/peer_message.hpp>
#include <knapweedchute/query/caller_codec.hpp>
#include <knapweedchute/query/target_codec.hpp>
#include <knapweedchute/runtime/datagram_socket.hpp>
#include <knapweedchute/runtime/peer_call.hpp>
#include <knapweedchute/wire/envelope.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace knapweedchute;

namespace {

const auto valid_settings = std::string{
    R"({"instance":"a","availability_zone":"z","deployment":"d","key":"0123456789abcdef",)"
    R"("operator_key":"0123456789abcdef","caller_address":"127.0.0.1:1","admin_address":)"
    R"("127.0.0.1:2","peer_address":"127.0.0.1:3","platform_address":"127.0.0.1:4"})"};

struct decoder_fixture
{
    envelope codec{"d", message_key{"0123456789abcdef"}};
    error reason;

    static auto message() -> peer_message
    {
        auto value = peer_message{};
        value.from.instance = "a";
        value.updates = {value.from, value.from};
        return value;
    }

    /// Passes the bytes to every decoder; none may crash or throw.
    auto decode_all(const std::string& bytes) -> void
    {
        static_cast<void>(codec.decode<peer_message>(bytes, reason));
        static_cast<void>(codec.decode<peer_call>(bytes, reason));
        static_cast<void>(codec.decode<peer_reply>(bytes, reason));
        static_cast<void>(decode_part_answer(bytes, reason));
        static_cast<void>(decode_target_report(bytes, reason));
        static_cast<void>(decode_target_refusal(bytes));
        static_cast<void>(decode_search_call(bytes, reason));
        static_cast<void>(decode_run_call(bytes, reason));
        static_cast<void>(operators_file_reader{}.read(bytes));
        static_cast<void>(settings_reader{}.read(bytes));
        static_cast<void>(parse_request_id(bytes, message_key{"0123456789abcdef"}, reason));
    }

    /// Signs an arbitrary body, as a faulty peer with the right key could, and decodes it.
    auto decode_signed_body(const std::string& body) -> void
    {
        struct raw_body
        {
            std::string bytes;
            auto save(cereal::PortableBinaryOutputArchive& archive) const -> void
            {
                archive(cereal::binary_data(bytes.data(), bytes.size()));
            }
        };
        const auto signed_bytes = codec.encode(raw_body{body});
        static_cast<void>(codec.decode<peer_message>(signed_bytes, reason));
        static_cast<void>(codec.decode<peer_call>(signed_bytes, reason));
        static_cast<void>(codec.decode<peer_reply>(signed_bytes, reason));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(decoder_suite, decoder_fixture)

BOOST_AUTO_TEST_CASE(envelope_message_of_the_same_deployment_is_decoded)
{
    BOOST_TEST((codec.decode<peer_message>(codec.encode(message()), reason) == message()));
}

BOOST_AUTO_TEST_CASE(envelope_message_of_another_deployment_is_refused)
{
    const auto other = envelope{"e", message_key{"0123456789abcdef"}};
    BOOST_TEST(!codec.decode<peer_message>(other.encode(message()), reason));
    BOOST_TEST((reason.code == error_code::not_authentic));
}

BOOST_AUTO_TEST_CASE(envelope_message_of_another_format_is_refused)
{
    auto bytes = codec.encode(message());
    bytes[4] = 9;
    BOOST_TEST(!codec.decode<peer_message>(bytes, reason));
    BOOST_TEST((reason.code == error_code::invalid_value));
}

BOOST_AUTO_TEST_CASE(envelope_list_above_its_limit_is_refused)
{
    auto value = message();
    value.updates.resize(max_updates + 1);
    BOOST_TEST(!codec.decode<peer_message>(codec.encode(value), reason));
    BOOST_TEST((reason.code == error_code::malformed));
}

BOOST_AUTO_TEST_CASE(peer_message_with_max_updates_fits_a_datagram)
{
    auto value = message();
    value.from.instance.assign(max_member_name_bytes, 'x');
    value.from.availability_zone.assign(max_member_name_bytes, 'x');
    value.updates.assign(max_updates, value.from);
    BOOST_TEST(codec.encode(value).size() <= datagram_socket::max_datagram_bytes);
}

BOOST_AUTO_TEST_CASE(peer_message_with_max_evidence_fits_a_datagram)
{
    auto value = message();
    value.from.instance.assign(max_member_name_bytes, 'x');
    value.from.availability_zone.assign(max_member_name_bytes, 'x');
    value.updates.clear();
    value.evidence.assign(max_evidence_rows, {});
    BOOST_TEST(codec.encode(value).size() <= datagram_socket::max_datagram_bytes);
}

BOOST_AUTO_TEST_CASE(decoders_random_bytes_do_not_crash)
{
    BOOST_TEST(rc::check([&](const std::string& bytes) { decode_all(bytes); }));
    BOOST_TEST(rc::check([&](const std::string& bytes) { decode_signed_body(bytes); }));
}

BOOST_AUTO_TEST_CASE(decoders_mutated_messages_do_not_crash)
{
    const auto samples = std::vector<std::string>{
        codec.encode(message()), valid_settings,
        R"({"attempt":1,"snapshot":1,"shards":2,"shard":1,"incarnation":1,"hits":[],"end":true})",
        R"({"request_id":"a","service":"s","text":"t","top":3,"deadline_ms":5,"worth":1})"};
    BOOST_TEST(rc::check([&](std::uint32_t position, char byte, bool cut) {
        for (auto sample : samples) {
            const auto at = position % sample.size();
            sample[at] = byte;
            decode_all(cut ? sample.substr(0, at) : sample);
        }
    }));
}

BOOST_AUTO_TEST_CASE(settings_unknown_key_is_reported_with_its_path)
{
    auto text = valid_settings;
    text.insert(1, R"("colour":1,)");
    auto reader = settings_reader{};
    BOOST_TEST(!reader.read(text));
    BOOST_TEST(reader.faults().front().where == "/colour");
}

BOOST_AUTO_TEST_CASE(settings_valid_text_is_decoded)
{
    BOOST_TEST(settings_reader{}.read(valid_settings).has_value());
}

BOOST_AUTO_TEST_CASE(operators_file_every_fault_is_reported_with_its_path)
{
    auto reader = operators_file_reader{};
    const auto text = R"({"availability_zones":[{"name":"a"},{"name":"a"}],"services":[
        {"name":"s","workspace":"w","version":"v2","connections_per_replica":0,
         "versions":[{"name":"v1","targets":[{"address":"x","availability_zone":"b"}]}]}]})";
    BOOST_TEST(!reader.read(text));
    auto paths = std::vector<std::string>{};
    for (const auto& fault : reader.faults()) {
        paths.push_back(fault.where);
    }
    const auto expected = std::vector<std::string>{
        "/services/0/connections_per_replica", "/services/0/versions/0/targets/0/address",
        "/availability_zones/1/name", "/services/0/version",
        "/services/0/versions/0/targets/0/availability_zone"};
    BOOST_TEST(paths == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(search_call_deadline_of_zero_is_refused)
{
    BOOST_TEST(!decode_search_call(R"({"request_id":"a","service":"s","deadline_ms":0})", reason));
    BOOST_TEST(reason.where == "/deadline_ms");
}

BOOST_AUTO_TEST_CASE(part_answer_without_end_is_refused)
{
    const auto text = R"({"attempt":1,"snapshot":1,"shards":2,"shard":1,"incarnation":1})";
    BOOST_TEST(!decode_part_answer(text, reason));
}

BOOST_AUTO_TEST_SUITE_END()
