#include "support/memory_store.hpp"

#include <knapweedchute/config/configuration_store.hpp>

#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>
#include <set>

using namespace knapweedchute;
using namespace knapweedchute::test;

namespace {

constexpr auto head_key = std::string_view{"configuration"};

/// Returns a valid file of about `bytes` bytes that contains `mark`.
auto file_text(const std::string& mark, std::size_t bytes = 0) -> std::string
{
    return R"({"availability_zones":[{"name":")" + mark + std::string(bytes, 'x') + R"("}]})";
}

struct store_fixture
{
    memory_store memory;
    configuration_store store{memory, 3};
    error reason;

    auto accepted() -> std::string
    {
        const auto head = store.read_head(reason);
        BOOST_REQUIRE(head);
        const auto file = store.read_file(*head, reason);
        BOOST_REQUIRE_MESSAGE(file, to_string(reason));
        return file->text;
    }

    /// Injects a fault into the next write of the head.
    auto fail_head_once(memory_store::fault injected) -> void
    {
        memory.on_write = [injected, done = false](auto key) mutable {
            const auto now = key == head_key && !done;
            done = done || now;
            return now ? injected : memory_store::fault::none;
        };
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_store_suite, store_fixture)

BOOST_AUTO_TEST_CASE(apply_first_file_is_version_one)
{
    BOOST_TEST(store.apply(file_text("a"), 0, "c1", reason).value() == 1U);
    BOOST_TEST(accepted() == file_text("a"));
}

BOOST_AUTO_TEST_CASE(apply_old_base_is_a_conflict)
{
    static_cast<void>(store.apply(file_text("a"), 0, "c1", reason));
    static_cast<void>(store.apply(file_text("b"), 1, "c2", reason));
    BOOST_TEST(!store.apply(file_text("c"), 1, "c3", reason));
    BOOST_TEST((reason.code == error_code::conflict));
    BOOST_TEST(accepted() == file_text("b"));
}

BOOST_AUTO_TEST_CASE(apply_answer_lost_after_effect_is_accepted)
{
    fail_head_once(memory_store::fault::lost_answer);
    BOOST_TEST(store.apply(file_text("a"), 0, "c1", reason).value() == 1U);
}

BOOST_AUTO_TEST_CASE(apply_request_lost_is_retried)
{
    fail_head_once(memory_store::fault::lost_request);
    BOOST_TEST(store.apply(file_text("a"), 0, "c1", reason).value() == 1U);
}

BOOST_AUTO_TEST_CASE(apply_answer_lost_before_other_changes_is_accepted_at_its_version)
{
    auto other = configuration_store{memory, 3};
    memory.on_write = [&, step = 0](auto key) mutable {
        if (key != head_key) {
            return memory_store::fault::none;
        }
        ++step;
        if (step == 2) {
            // Two other changes are accepted before the second attempt.
            auto ignored = error{};
            BOOST_TEST(other.apply(file_text("b"), 1, "c2", ignored).value() == 2U);
            BOOST_TEST(other.apply(file_text("c"), 2, "c3", ignored).value() == 3U);
        }
        return step == 1 ? memory_store::fault::lost_answer : memory_store::fault::none;
    };
    BOOST_TEST(store.apply(file_text("a"), 0, "c1", reason).value() == 1U);
    BOOST_TEST(accepted() == file_text("c"));
}

BOOST_AUTO_TEST_CASE(apply_request_lost_and_another_accepted_is_a_conflict)
{
    auto other = configuration_store{memory, 3};
    memory.on_write = [&, step = 0](auto key) mutable {
        if (key != head_key) {
            return memory_store::fault::none;
        }
        ++step;
        if (step == 2) {
            auto ignored = error{};
            BOOST_TEST(other.apply(file_text("b"), 0, "c2", ignored).value() == 1U);
        }
        return step == 1 ? memory_store::fault::lost_request : memory_store::fault::none;
    };
    BOOST_TEST(!store.apply(file_text("a"), 0, "c1", reason));
    BOOST_TEST((reason.code == error_code::conflict));
}

BOOST_AUTO_TEST_CASE(apply_all_answers_lost_is_unknown)
{
    memory.on_write = [](auto key) {
        return key == head_key ? memory_store::fault::lost_request : memory_store::fault::none;
    };
    BOOST_TEST(!store.apply(file_text("a"), 0, "c1", reason));
    BOOST_TEST((reason.code == error_code::outcome_unknown));
}

BOOST_AUTO_TEST_CASE(apply_store_refuses_is_not_accepted)
{
    memory.on_write = [](auto) { return memory_store::fault::refused; };
    BOOST_TEST(!store.apply(file_text("a"), 0, "c1", reason));
    BOOST_TEST((reason.code == error_code::store_unavailable));
}

BOOST_AUTO_TEST_CASE(apply_large_file_is_read_back_completely)
{
    const auto text = file_text("a", 2'500'000);
    BOOST_TEST(store.apply(text, 0, "c1", reason).value() == 1U);
    BOOST_TEST((accepted() == text));
}

BOOST_AUTO_TEST_CASE(apply_failed_between_parts_keeps_the_old_file)
{
    static_cast<void>(store.apply(file_text("a"), 0, "c1", reason));
    memory.on_write = [](auto key) {
        return key.ends_with(".1") ? memory_store::fault::refused : memory_store::fault::none;
    };
    BOOST_TEST(!store.apply(file_text("b", 2'500'000), 1, "c2", reason));
    BOOST_TEST(accepted() == file_text("a"));
}

BOOST_AUTO_TEST_CASE(apply_same_content_again_keeps_it_readable)
{
    static_cast<void>(store.apply(file_text("a"), 0, "c1", reason));
    static_cast<void>(store.apply(file_text("b"), 1, "c2", reason));
    static_cast<void>(store.apply(file_text("a"), 2, "c3", reason));
    BOOST_TEST(accepted() == file_text("a"));
}

BOOST_AUTO_TEST_CASE(apply_random_faults_and_races_accepts_each_change_at_most_once)
{
    for (auto seed = std::uint64_t{1}; seed <= 300; ++seed) {
        auto random = std::mt19937_64{seed};
        auto shared = memory_store{};
        auto depth = 0;
        auto accepted_changes = std::map<std::string, std::uint64_t>{};
        auto serial = 0;
        auto apply_one = std::function<void()>{};
        apply_one = [&] {
            auto mine = configuration_store{shared, 3};
            auto why = error{};
            const auto head = mine.read_head(why);
            const auto change = "c" + std::to_string(++serial);
            const auto version = mine.apply(file_text(change), head->version, change, why);
            if (version) {
                accepted_changes[change] = *version;
            }
        };
        shared.on_write = [&](auto key) {
            if (key == head_key && depth < 2 && random() % 4 == 0) {
                ++depth;
                apply_one();
                --depth;
            }
            return static_cast<memory_store::fault>(random() % 4);
        };
        for (auto step = 0; step < 10; ++step) {
            apply_one();
        }
        auto versions = std::set<std::uint64_t>{};
        for (const auto& [change, version] : accepted_changes) {
            BOOST_TEST(versions.insert(version).second, "two changes at one version");
        }
        auto reader = configuration_store{shared, 3};
        const auto head = reader.read_head(reason);
        BOOST_TEST((head->version == 0 || reader.read_file(*head, reason).has_value()));
    }
}

BOOST_AUTO_TEST_SUITE_END()
