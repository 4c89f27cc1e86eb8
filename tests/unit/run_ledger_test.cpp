#include <knapweedchute/query/run_ledger.hpp>

#include <boost/test/unit_test.hpp>

using namespace knapweedchute;

namespace {

constexpr auto lifetime = seconds{60};

struct ledger_fixture
{
    time_point now{seconds{100}};
    message_key key{"0123456789abcdef"};
    run_ledger ledger{"entry-a", 7, key, lifetime, now};

    static auto execution(const std::optional<run_ledger::recorded_result>& recorded) -> outcome
    {
        return std::get<refusal>(recorded.value()).execution;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(run_ledger_suite, ledger_fixture)

BOOST_AUTO_TEST_CASE(admit_new_id_is_admitted)
{
    BOOST_TEST(!ledger.admit(ledger.issue_id(now), now));
}

BOOST_AUTO_TEST_CASE(admit_id_in_progress_has_unknown_outcome)
{
    const auto id = ledger.issue_id(now);
    static_cast<void>(ledger.admit(id, now));
    BOOST_TEST((execution(ledger.admit(id, now)) == outcome::unknown));
}

BOOST_AUTO_TEST_CASE(admit_completed_id_returns_recorded_result)
{
    const auto id = ledger.issue_id(now);
    static_cast<void>(ledger.admit(id, now));
    ledger.record_result(id, std::string{"done"});
    BOOST_TEST((ledger.admit(id, now) == run_ledger::recorded_result{std::string{"done"}}));
}

BOOST_AUTO_TEST_CASE(admit_id_of_another_instance_has_unknown_outcome)
{
    auto other = run_ledger{"entry-b", 7, key, lifetime, now};
    BOOST_TEST((execution(ledger.admit(other.issue_id(now), now)) == outcome::unknown));
}

BOOST_AUTO_TEST_CASE(admit_id_of_earlier_incarnation_has_unknown_outcome)
{
    auto later = run_ledger{"entry-a", 8, key, lifetime, now};
    BOOST_TEST((execution(later.admit(ledger.issue_id(now), now)) == outcome::unknown));
}

BOOST_AUTO_TEST_CASE(admit_expired_id_has_unknown_outcome)
{
    const auto id = ledger.issue_id(now);
    static_cast<void>(ledger.admit(id, now));
    BOOST_TEST((execution(ledger.admit(id, now + lifetime)) == outcome::unknown));
    BOOST_TEST(ledger.size() == 0U);
}

BOOST_AUTO_TEST_CASE(admit_forged_id_is_refused)
{
    auto id = ledger.issue_id(now);
    id.back() = id.back() == '0' ? '1' : '0';
    BOOST_TEST((std::get<refusal>(ledger.admit(id, now).value()).reason.code ==
                error_code::not_authentic));
}

BOOST_AUTO_TEST_SUITE_END()
