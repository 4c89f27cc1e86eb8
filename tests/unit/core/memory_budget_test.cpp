#include <knapweedchute/core/memory_budget.hpp>
#include <knapweedchute/core/memory_reservation.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

using namespace knapweedchute;

namespace {

constexpr auto unit = memory_reservation::min_reserved;

struct budget_fixture
{
    counter_set counters;
    memory_budget budget{10 * unit, counters};
    std::vector<int> evicted;

    auto reserve(int name, std::size_t bytes) -> std::unique_ptr<memory_reservation>
    {
        auto made =
            std::make_unique<memory_reservation>(budget, [this, name] { evicted.push_back(name); });
        made->resize(bytes);
        return made;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(memory_budget_suite, budget_fixture)

BOOST_AUTO_TEST_CASE(budget_within_its_limit_evicts_nothing)
{
    const auto one = reserve(1, 4 * unit);
    const auto two = reserve(2, 6 * unit);
    BOOST_TEST(evicted.empty());
    BOOST_TEST(budget.held() == 10 * unit);
}

BOOST_AUTO_TEST_CASE(budget_above_its_limit_evicts_the_largest_reservation)
{
    const auto large = reserve(1, 6 * unit);
    const auto small = reserve(2, 2 * unit);
    const auto last = reserve(3, 3 * unit);
    BOOST_TEST(evicted == std::vector{1});
    BOOST_TEST(budget.held() == 5 * unit);
    BOOST_TEST(counters.value(counter::answers_evicted) == 1U);
}

BOOST_AUTO_TEST_CASE(reservation_that_grows_above_the_limit_is_evicted_and_others_stay)
{
    const auto sound = reserve(1, 2 * unit);
    auto endless = reserve(2, unit);
    for (auto bytes = unit; bytes < 20 * unit; bytes += unit) {
        endless->resize(bytes);
    }
    BOOST_TEST(evicted == std::vector{2});
    BOOST_TEST(budget.held() == 2 * unit);
    BOOST_TEST(budget.highest() <= 10 * unit);
}

BOOST_AUTO_TEST_CASE(reservation_below_the_minimum_is_not_counted)
{
    auto many = std::vector<std::unique_ptr<memory_reservation>>{};
    for (auto index = 0; index < 100; ++index) {
        many.push_back(reserve(index, unit - 1));
    }
    BOOST_TEST(budget.held() == 0U);
    BOOST_TEST(evicted.empty());
}

BOOST_AUTO_TEST_CASE(reservation_that_ends_returns_its_bytes)
{
    auto one = reserve(1, 9 * unit);
    one.reset();
    const auto two = reserve(2, 9 * unit);
    BOOST_TEST(evicted.empty());
    BOOST_TEST(budget.highest() == 9 * unit);
}

BOOST_AUTO_TEST_CASE(budget_over_random_sizes_stays_within_its_limit_and_evicts_each_once)
{
    constexpr auto steps = 20'000;
    auto random = std::mt19937_64{1};
    auto open = std::vector<std::unique_ptr<memory_reservation>>{};
    for (auto step = 0; step < steps; ++step) {
        const auto index = random() % 40;
        if (index >= open.size()) {
            open.push_back(reserve(step, random() % (2 * unit)));
        } else if (random() % 8 == 0) {
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
        } else {
            open[index]->resize(random() % (4 * unit));
        }
        auto sum = std::size_t{0};
        for (const auto& one : open) {
            sum += one->bytes();
        }
        BOOST_REQUIRE(budget.held() == sum);
        BOOST_REQUIRE(budget.held() <= budget.limit());
    }
    BOOST_TEST(!evicted.empty());
    std::sort(evicted.begin(), evicted.end());
    BOOST_TEST((std::adjacent_find(evicted.begin(), evicted.end()) == evicted.end()));
}

BOOST_AUTO_TEST_SUITE_END()
