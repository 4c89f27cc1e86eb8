#include "config_codec.hpp"
#include "key_redaction.hpp"

#include <knapweedchute/relay/refusal_answer.hpp>
#include <knapweedchute/workspace/request_authorizer.hpp>

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;

namespace {

struct authorizer_fixture
{
    [[nodiscard]] auto table_with(std::vector<workspace_keys> entries) const
        -> std::shared_ptr<const route_table>
    {
        auto closed = route{};
        closed.host = "h";
        closed.prefix = "/closed/";
        closed.split = {{"s", 1.0}};
        auto open = closed;
        open.prefix = "/open/";
        open.is_public = true;
        return std::make_shared<const route_table>(
            1, std::vector{closed, open}, std::vector<service_rules>{}, caller_limits{},
            std::make_shared<const workspace_directory>(std::move(entries)));
    }

    auto authorize(const std::string& path, field_list fields) -> authorization
    {
        request.fields = std::move(fields);
        return authorizer.authorize(*table, *table->find("h", path), request);
    }

    [[nodiscard]] auto sent_name() const -> std::string
    {
        const auto* field = find_field(request.fields, "Workspace");
        return field == nullptr ? "" : field->value;
    }

    [[nodiscard]] auto key_is_passed_on() const -> bool
    {
        return find_field(request.fields, "Authorization") != nullptr;
    }

    key_digester digester{"secret"};
    std::shared_ptr<const route_table> table =
        table_with({{{"alpha", 1}, {digester.digest("key-a"), digester.digest("key-b")}},
                    {{"beta", std::nullopt}, {digester.digest("key-c")}}});
    std::optional<duration> age = milliseconds{100};
    key_authority authority{
        {seconds{3}, seconds{2}}, [this] { return table.get(); }, [this] { return age; }};
    request_authorizer authorizer{"Workspace", digester, authority};
    relayed_request request;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(workspace_keys_suite, authorizer_fixture)

BOOST_AUTO_TEST_CASE(key_known_is_replaced_by_the_name_of_its_workspace)
{
    const auto result =
        authorize("/closed/x", {{"authorization", "Bearer key-b"}, {"workspace", "beta"}});
    BOOST_TEST(!result.refusal);
    BOOST_TEST(result.owner->name == "alpha");
    BOOST_TEST(result.key.has_value());
    BOOST_TEST(sent_name() == "alpha");
    BOOST_TEST(request.fields.size() == 1U);
    BOOST_TEST(!key_is_passed_on());
}

BOOST_AUTO_TEST_CASE(key_missing_unknown_or_malformed_is_refused_with_a_clear_status)
{
    const auto status_of = [&](const field_list& fields) {
        const auto result = authorize("/closed/x", fields);
        BOOST_TEST(!key_is_passed_on());
        return result.refusal ? result.refusal->status : 0U;
    };
    BOOST_TEST(status_of({}) == 401U);
    BOOST_TEST(status_of({{"Authorization", "Bearer key-x"}}) == 401U);
    BOOST_TEST(status_of({{"Authorization", "Bearer "}}) == 401U);
    BOOST_TEST(status_of({{"Authorization", "Basic key-a"}}) == 401U);
    BOOST_TEST(status_of({{"Authorization", "key-a"}}) == 401U);
    BOOST_TEST(status_of({{"Authorization", "Bearer key a"}}) == 401U);
    BOOST_TEST(status_of({{"Authorization", "Bearer " + std::string(2'000, 'k')}}) == 400U);
    BOOST_TEST(status_of({{"Authorization", "Bearer key-a"}, {"authorization", "Bearer key-a"}}) ==
               400U);
    BOOST_TEST(status_of({{"Authorization", "bearer key-a"}}) == 0U);
}

BOOST_AUTO_TEST_CASE(key_on_a_public_route_is_not_needed_and_never_passed_on)
{
    BOOST_TEST(!authorize("/open/x", {}).refusal);
    BOOST_TEST(!authorize("/open/x", {{"Authorization", "Bearer key-x"}}).refusal);
    BOOST_TEST(!key_is_passed_on());
    BOOST_TEST(sent_name().empty());
    BOOST_TEST(!authorize("/open/x", {{"Authorization", "Bearer key-c"}}).refusal);
    BOOST_TEST(sent_name() == "beta");
    age.reset();
    BOOST_TEST(!authorize("/open/x", {}).refusal);
}

BOOST_AUTO_TEST_CASE(key_is_not_judged_without_proof)
{
    const auto status_at = [&](std::optional<duration> value, const char* key) {
        age = value;
        const auto result = authorize("/closed/x", {{"Authorization", key}});
        return result.refusal ? result.refusal->status : 0U;
    };
    BOOST_TEST(status_at(milliseconds{3'000}, "Bearer key-a") == 0U);
    BOOST_TEST(status_at(milliseconds{3'001}, "Bearer key-a") == 503U);
    BOOST_TEST(status_at(std::nullopt, "Bearer key-a") == 503U);
    BOOST_TEST(status_at(milliseconds{2'000}, "Bearer key-x") == 401U);
    BOOST_TEST(status_at(milliseconds{2'001}, "Bearer key-x") == 503U);
    age = milliseconds{3'001};
    const auto unproved = authorize("/closed/x", {{"Authorization", "Bearer key-a"}});
    BOOST_TEST(find_field(unproved.refusal->fields, "Retry-After") != nullptr);
}

BOOST_AUTO_TEST_CASE(key_taken_away_is_not_valid_for_requests_in_progress)
{
    const auto admitted = authorize("/closed/x", {{"Authorization", "Bearer key-a"}});
    table = table_with({{{"alpha", 1}, {digester.digest("key-b")}}});
    BOOST_TEST((authorizer.judge(*admitted.key, "alpha") == key_verdict::unknown));
    age = milliseconds{2'500};
    BOOST_TEST((authorizer.judge(*admitted.key, "alpha") == key_verdict::unproved));
}

BOOST_AUTO_TEST_CASE(key_given_to_another_workspace_is_not_valid_for_requests_of_the_one_before)
{
    const auto admitted = authorize("/closed/x", {{"Authorization", "Bearer key-a"}});
    table = table_with({{{"alpha", 1}, {}}, {{"beta", 1}, {digester.digest("key-a")}}});
    BOOST_TEST((authorizer.judge(*admitted.key, "alpha") == key_verdict::unproved));
    BOOST_TEST((authorizer.judge(*admitted.key, "beta") == key_verdict::valid));
}

BOOST_AUTO_TEST_CASE(table_without_workspaces_changes_nothing)
{
    table = std::make_shared<const route_table>(1, table->routes(), std::vector<service_rules>{},
                                                caller_limits{});
    const auto result =
        authorize("/closed/x", {{"Authorization", "Bearer key-x"}, {"Workspace", "own"}});
    BOOST_TEST(!result.refusal);
    BOOST_TEST(key_is_passed_on());
    BOOST_TEST(sent_name() == "own");
}

BOOST_AUTO_TEST_CASE(configuration_holds_digests_instead_of_keys)
{
    auto text = std::string{
        R"({"version":7,"routes":[{"name":"\"tenants\":[","host":"h","prefix":"/p/","service":"a",
        "routeType":"idempotent","timeoutMs":1000,"public":true}],"tenants" : [
        {"name":"alpha","apiKeys":["key-]a","key-b"],"priority":2},{"name":"beta","apiKeys":[]}]})"};
    platform::redact_keys(text, digester);
    BOOST_TEST(text.find("key-]a") == std::string::npos);
    BOOST_TEST(text.find("key-b") == std::string::npos);
    auto reason = error{};
    const auto decoded = platform::decode_config(text, reason);
    BOOST_REQUIRE(decoded);
    BOOST_REQUIRE(decoded->workspaces() != nullptr);
    BOOST_TEST(decoded->workspaces()->size() == 2U);
    const auto* owner = decoded->workspaces()->find(digester.digest("key-]a"));
    BOOST_REQUIRE(owner != nullptr);
    BOOST_TEST(owner->name == "alpha");
    BOOST_TEST(owner->priority.value() == 2);
    BOOST_TEST(decoded->find("h", "/p/")->is_public);
}

BOOST_AUTO_TEST_CASE(configuration_with_unreadable_workspaces_is_dropped_and_one_without_kept)
{
    for (const auto* bad : {R"({"tenants":[{"apiKeys":["k"})", R"({"tenants":["k"]})"}) {
        auto text = std::string{bad};
        platform::redact_keys(text, digester);
        BOOST_TEST(text.empty());
    }
    const auto plain = std::string{R"({"version":7,"routes":[]})"};
    auto text = plain;
    platform::redact_keys(text, digester);
    BOOST_TEST(text == plain);
    auto reason = error{};
    BOOST_TEST(platform::decode_config(plain, reason)->workspaces() == nullptr);
}

BOOST_AUTO_TEST_CASE(digest_is_read_back_from_its_text)
{
    const auto digest = digester.digest("key-a");
    BOOST_TEST((key_digest_from_hex(to_hex(digest)) == digest));
    BOOST_TEST((digest != digester.digest("key-b")));
    BOOST_TEST((digest != key_digester{"other"}.digest("key-a")));
    BOOST_TEST(!key_digest_from_hex("00"));
    BOOST_TEST(!key_digest_from_hex(std::string(32, 'x')));
}

BOOST_AUTO_TEST_SUITE_END()
