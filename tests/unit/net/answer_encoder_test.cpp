#include <knapweedchute/net/answer_encoder.hpp>

#include <boost/test/unit_test.hpp>

#include <string>

using namespace knapweedchute;

BOOST_AUTO_TEST_SUITE(answer_encoder_suite)

// Guards against an answer with a long header, such as the proofs of many parts, that ends the
// process: the HTTP library's container of headers throws above 65,533 bytes.
BOOST_AUTO_TEST_CASE(answer_has_headers_of_any_length)
{
    for (const auto length : {65'533U, 65'534U, 200'000U}) {
        const auto proofs = std::string(length, 'p');
        const auto text = encode_answer({200, {{"Proofs", proofs}}, "b"}, false, false);
        BOOST_TEST(text.find("\r\nProofs: " + proofs + "\r\n") != std::string::npos);
        BOOST_TEST(text.ends_with("\r\n\r\nb"));
    }
}

BOOST_AUTO_TEST_CASE(answer_states_its_length_once_and_whether_the_connection_closes)
{
    BOOST_TEST(encode_answer({200, {{"A", "1"}, {"A", "2"}}, "body"}, false, false) ==
               "HTTP/1.1 200 OK\r\nA: 1\r\nA: 2\r\nContent-Length: 4\r\n\r\nbody");
    BOOST_TEST(
        encode_answer({503, {}, ""}, false, true) ==
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(encode_answer({200, {}, "body"}, true, false) ==
               "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
    BOOST_TEST(encode_answer({599, {}, ""}, false, false).starts_with("HTTP/1.1 599 "));
}

BOOST_AUTO_TEST_CASE(answer_whose_status_allows_no_body_has_none)
{
    for (const auto status : {204U, 304U}) {
        const auto text = encode_answer({status, {}, "body"}, false, false);
        BOOST_TEST(text.ends_with("\r\n\r\n"));
        BOOST_TEST(text.find("body") == std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
