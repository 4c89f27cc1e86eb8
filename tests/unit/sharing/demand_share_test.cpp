#include <knapweedchute/membership/limit_fraction.hpp>
#include <knapweedchute/membership/peer_message.hpp>
#include <knapweedchute/relay/extra_request_window.hpp>
#include <knapweedchute/sharing/demand_share.hpp>
#include <knapweedchute/wire/envelope.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <random>

using namespace knapweedchute;
using namespace std::chrono_literals;

namespace {

constexpr auto rounding = 1e-9;
constexpr auto count = std::size_t{12};

struct datagram
{
    duration due;
    std::size_t from = 0;
    std::size_t to = 0;
    room_loan loan;
    duration requested_at;
    bool is_loan = false;
};

/// Instances in virtual time whose datagrams are lost, late, repeated and out of order.
struct sharing_fleet
{
    explicit sharing_fleet(unsigned seed, bool has_faults) : random{seed}, faults{has_faults}
    {
        for (auto index = std::size_t{0}; index < count; ++index) {
            names.push_back("i" + std::to_string(10 + index));
            start(index);
        }
    }

    auto start(std::size_t index) -> void
    {
        shares[index] = std::make_unique<demand_share>(names[index], share_limits{}, now);
        shares[index]->set_members(count, fraction_of(index, count));
    }

    [[nodiscard]] auto fraction_of(std::size_t index, std::size_t seen) const -> double
    {
        return limit_fraction(preferred, seen, index < preferred);
    }

    auto chance(double probability) -> bool
    {
        return faults && std::bernoulli_distribution{probability}(random);
    }

    auto send(datagram message) -> void
    {
        for (auto copies = chance(0.2) ? 2 : 1; copies > 0; --copies) {
            if (!chance(0.1) && !cut[message.from] && !cut[message.to]) {
                const auto late = chance(0.3) ? milliseconds{random() % 20'000} : 1ms;
                message.due = now + late;
                messages.push_back(message);
            }
        }
    }

    auto deliver(const datagram& message) -> void
    {
        if (frozen[message.to]) {
            messages.push_back(message);
        } else if (message.is_loan) {
            shares[message.to]->on_loan(names[message.from], message.loan, message.requested_at,
                                        now);
        } else if (const auto loan = shares[message.to]->lend(names[message.from], now)) {
            send({now, message.to, message.from, *loan, message.requested_at, true});
        }
    }

    auto step() -> void
    {
        now += 250ms;
        for (auto index = std::size_t{0}; index < count; ++index) {
            frozen[index] = frozen[index] ? !chance(0.05) : chance(0.01);
            cut[index] = cut[index] ? !chance(0.05) : chance(0.01);
            if (chance(0.005)) {
                start(index);
            }
            // Views that disagree, none of which counts less than there are.
            const auto seen = count + (chance(0.1) ? random() % (3 * count) : 0);
            shares[index]->set_members(seen, fraction_of(index, seen));
            if (!frozen[index]) {
                shares[index]->observe(0.0, busy[index], now);
                for (const auto& lender : shares[index]->select_lenders(names, now)) {
                    const auto to = static_cast<std::size_t>(std::stoi(lender.substr(1)) - 10);
                    send({now, index, to, {}, now, false});
                }
            }
        }
        auto arrived = std::vector<datagram>{};
        std::erase_if(messages, [&](const auto& message) {
            return message.due <= now && (arrived.push_back(message), true);
        });
        std::shuffle(arrived.begin(), arrived.end(), random);
        for (const auto& message : arrived) {
            deliver(message);
        }
    }

    [[nodiscard]] auto total() const -> double
    {
        auto sum = 0.0;
        for (const auto& share : shares) {
            sum += share->fraction(now);
        }
        return sum;
    }

    std::mt19937 random;
    bool faults;
    std::size_t preferred = random() % (count + 1);
    duration now = 1h;
    std::vector<std::string> names;
    std::array<std::unique_ptr<demand_share>, count> shares;
    std::array<bool, count> busy{};
    std::array<bool, count> frozen{};
    std::array<bool, count> cut{};
    std::vector<datagram> messages;
};

} // namespace

BOOST_AUTO_TEST_SUITE(demand_share_suite)

BOOST_AUTO_TEST_CASE(room_moves_to_demand_and_returns)
{
    auto fleet = sharing_fleet{1, false};
    fleet.preferred = count;
    fleet.busy[3] = true;
    for (auto steps = 0; steps < 200; ++steps) {
        fleet.step();
    }
    BOOST_TEST(fleet.shares[3]->fraction(fleet.now) > 2.5 / count);
    fleet.busy[3] = false;
    for (auto steps = 0; steps < 200; ++steps) {
        fleet.step();
    }
    for (const auto& share : fleet.shares) {
        BOOST_TEST(share->fraction(fleet.now) == 1.0 / count, boost::test_tools::tolerance(1e-6));
    }
}

BOOST_AUTO_TEST_CASE(all_together_never_exceed_the_whole_nor_fall_below_the_floor)
{
    auto most_borrowed = 0.0;
    for (auto seed = 0U; seed < 240U; ++seed) {
        auto fleet = sharing_fleet{seed, true};
        for (auto steps = 0; steps < 400; ++steps) {
            if (steps % 80 == 0) {
                fleet.busy[fleet.random() % count] ^= true;
            }
            fleet.step();
            BOOST_REQUIRE_LE(fleet.total(), 1.0 + rounding);
            for (const auto& share : fleet.shares) {
                BOOST_REQUIRE_GE(share->fraction(fleet.now), share->floor());
                most_borrowed = std::max(most_borrowed, share->borrowed(fleet.now));
            }
        }
    }
    BOOST_TEST(most_borrowed > 0.2 / count);
}

BOOST_AUTO_TEST_CASE(loan_ends_by_the_time_of_its_request_and_is_kept_back_for_a_window)
{
    auto lender = demand_share{"a", {}, 0s};
    auto borrower = demand_share{"b", {}, 0s};
    lender.set_members(2, 0.5);
    borrower.set_members(2, 0.5);
    borrower.observe(0.0, true, 30s);
    BOOST_REQUIRE_EQUAL(borrower.select_lenders({"a", "b"}, 30s).size(), 1U);
    const auto loan = lender.lend("b", 34s);
    BOOST_REQUIRE(loan.has_value());
    borrower.on_loan("a", *loan, 30s, 34s);
    BOOST_TEST(borrower.borrowed(34s) > 0.0);
    BOOST_TEST(borrower.borrowed(35s) == 0.0);
    BOOST_TEST(lender.lent(49s) > 0.0);
    BOOST_TEST(lender.lent(50s) == 0.0);
    borrower.on_loan("a", *loan, 31s, 34s);
    BOOST_TEST(borrower.borrowed(35s) == 0.0);
}

BOOST_AUTO_TEST_CASE(used_room_is_not_lent)
{
    auto lender = demand_share{"a", {}, 0s};
    lender.set_members(2, 0.5);
    lender.observe(0.45, false, 30s);
    BOOST_TEST(lender.lend("b", 30s).has_value());
    BOOST_TEST(lender.fraction(30s) == 0.45, boost::test_tools::tolerance(1e-3));
    BOOST_TEST(lender.fraction(30s) >= 0.45 - rounding);
    lender.observe(0.49, false, 30s);
    BOOST_TEST(!lender.lend("c", 30s).has_value());
    lender.observe(0.0, true, 31s);
    BOOST_TEST(!lender.lend("b", 31s).has_value());
}

BOOST_AUTO_TEST_CASE(those_that_ask_get_the_same)
{
    auto lender = demand_share{"a", {}, 0s};
    lender.set_members(2, 0.5);
    BOOST_TEST(lender.lend("b", 30s)->permil == 1'000U);
    BOOST_TEST(!lender.lend("c", 31s).has_value());
    BOOST_TEST(lender.lend("b", 32s)->permil == 500U);
    BOOST_TEST(!lender.lend("c", 45s).has_value());
    BOOST_TEST(lender.lend("b", 46s)->permil == 500U);
    BOOST_TEST(lender.lend("c", 48s)->permil == 500U);
}

BOOST_AUTO_TEST_CASE(extra_requests_of_lender_and_borrower_stay_within_the_allowance)
{
    constexpr auto allowance = 100.0;
    constexpr auto granted_at_most = 85.0; // The window leaves a part of the allowance unused.
    auto now = duration{100s};
    auto names = std::vector<std::string>{"a", "b"};
    auto shares = std::array{demand_share{"a", {}, 0s}, demand_share{"b", {}, 0s}};
    auto windows = std::vector<extra_request_window>(2, extra_request_window{{0.0, allowance}});
    auto sent = std::deque<duration>{};
    auto most_of_borrower = std::size_t{0};
    for (auto index = std::size_t{0}; index < 2; ++index) {
        shares[index].set_members(2, 0.5);
        windows[index].set_fraction_source([&, index] { return shares[index].fraction(now); });
    }
    for (; now < 220s; now += 100ms) {
        // First the one is short of room, then the other, with no pause in between.
        const auto busy = std::size_t{now < 161s ? 1U : 0U};
        while (windows[busy].try_acquire("s", time_point{now})) {
            sent.push_back(now);
        }
        std::erase_if(sent, [&](auto at) { return at <= now - 10s; });
        BOOST_REQUIRE_LE(static_cast<double>(sent.size()), granted_at_most);
        most_of_borrower = std::max(most_of_borrower, busy == 1 ? sent.size() : 0);
        for (auto index = std::size_t{0}; index < 2; ++index) {
            const auto use = windows[index].take_use(time_point{now});
            shares[index].observe(use.highest, use.refused, now);
            for (const auto& lender : shares[index].select_lenders(names, now)) {
                if (const auto loan = shares[1 - index].lend(names[index], now)) {
                    shares[index].on_loan(lender, *loan, now, now);
                }
            }
        }
    }
    BOOST_TEST(most_of_borrower == 51U);
}

BOOST_AUTO_TEST_CASE(loan_is_carried_and_other_messages_stay_as_they_were)
{
    const auto codec = envelope{"store", message_key{"store"}};
    auto message = peer_message{};
    const auto earlier_size = codec.encode(message).size();
    message.kind = peer_message_kind::room_request;
    BOOST_TEST(codec.encode(message).size() == earlier_size);
    message.kind = peer_message_kind::room_grant;
    message.room = {500, 84};
    const auto bytes = codec.encode(message);
    BOOST_TEST(bytes.size() == earlier_size + 8);
    auto reason = error{};
    const auto decoded = codec.decode<peer_message>({bytes.data(), bytes.size()}, reason);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == message));
}

BOOST_AUTO_TEST_SUITE_END()
