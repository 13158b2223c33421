#include "base/error.hpp"
#include "peer/json_text.hpp"
#include "peer/messages.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentograde;

namespace
{

std::string any_text()
{
    const auto size = *rc::gen::inRange<std::size_t>(0, 12);
    return *rc::gen::container<std::string>(size,
                                            rc::gen::inRange<char>(1, 127));
}

template <class Id>
Id any_id()
{
    return Id(any_text());
}

std::uint64_t any_number()
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

bool any_flag()
{
    return *rc::gen::arbitrary<bool>();
}

base::duration any_length()
{
    return std::chrono::microseconds{
        *rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000)};
}

base::wall_time any_wall_time()
{
    return base::from_millis(
        *rc::gen::inRange<std::int64_t>(0, 4'000'000'000'000));
}

peer::member_entry any_member()
{
    return {any_id<base::member_id>(),
            {"127.0.0.1", *rc::gen::arbitrary<std::uint16_t>()},
            any_id<base::zone_name>(),
            any_number()};
}

base::task_size any_size()
{
    return {*rc::gen::inRange(0, 1000) / 8.0, any_number(),
            *rc::gen::arbitrary<std::uint32_t>()};
}

base::priority any_priority()
{
    return any_flag() ? base::priority::urgent : base::priority::batch;
}

peer::slot_terms any_terms()
{
    peer::slot_terms terms;
    terms.queue = any_id<base::queue_name>();
    terms.pool = any_id<base::pool_name>();
    terms.department = any_id<base::department_name>();
    terms.urgency = any_priority();
    terms.size = any_size();
    terms.time_left = any_length();
    const int count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < count; ++i)
        terms.excluded.push_back(any_id<base::worker_id>());
    terms.retry = any_flag();
    terms.id = any_text();
    terms.expected_time = any_length();
    terms.checkpointable = any_flag();
    return terms;
}

peer::heartbeat any_heartbeat()
{
    peer::heartbeat beat;
    beat.sender = any_member();
    beat.leaving = any_flag();
    beat.bundle = {any_number(), any_wall_time()};
    beat.fleet = {any_number(), any_wall_time()};
    const int count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < count; ++i)
    {
        beat.known.push_back(any_member());
        beat.leaving_workers.push_back(
            {any_id<base::worker_id>(), any_number()});
        beat.idle_slots.push_back(
            {any_id<base::pool_name>(), *rc::gen::arbitrary<std::uint32_t>()});
    }
    return beat;
}

peer::submit_record any_submission()
{
    peer::submit_record message;
    message.work.identity = {any_id<base::department_name>(),
                             any_id<base::caller_name>(), any_text()};
    message.work.kind =
        any_flag() ? base::work_kind::request : base::work_kind::job;
    message.work.queue = any_id<base::queue_name>();
    message.work.urgency = any_priority();
    message.work.size = any_size();
    message.work.idempotent = any_flag();
    message.work.first = any_flag();
    message.work.issued_at = any_wall_time();
    message.work.time_limit = any_length();
    message.work.payload = any_text();
    return message;
}

// Through text, as between two members.
Json::Value transmit(const Json::Value& value)
{
    return peer::parse_object(peer::write_text(value));
}

template <class Message>
void check_round_trip(const Message& message)
{
    RC_ASSERT(Message::from_json(transmit(message.to_json())) == message);
}

template <class Message>
void check_mutations(const Message& message)
{
    Json::Value value = message.to_json();
    const auto names = value.getMemberNames();
    const std::string name = *rc::gen::elementOf(names);
    switch (*rc::gen::inRange(0, 6))
    {
    case 0:
        value.removeMember(name);
        break;
    case 1:
        value[name] = Json::Value();
        break;
    case 2:
        value[name] = -1;
        break;
    case 3:
        value[name] = 1e300;
        break;
    case 4:
        value[name] = "text";
        break;
    default:
        value[name] = Json::Value(Json::arrayValue);
        value[name].append(1);
    }
    try
    {
        Message::from_json(value);
    }
    catch (const base::error& failure)
    {
        RC_ASSERT(failure.code() == base::error_code::invalid);
    }
}

} // namespace

// Guards against a field that is written but not read, or the reverse.
TEST_CASE("messages survive transmission")
{
    CHECK(rc::check("heartbeat", [] { check_round_trip(any_heartbeat()); }));
    CHECK(rc::check(
        "documents",
        []
        {
            check_round_trip(
                peer::push_document{{any_text(), any_number(), any_text()}});
            check_round_trip(peer::fetch_document{any_text(), any_number()});
            check_round_trip(peer::version_reply{any_number()});
            check_round_trip(peer::leaving{any_member()});
        }));
    CHECK(rc::check("slots",
                    []
                    {
                        check_round_trip(peer::acquire_slot{any_terms()});
                        check_round_trip(peer::borrow_slot{any_terms()});
                        check_round_trip(peer::release_slot{
                            any_terms(), any_text(), any_id<base::worker_id>(),
                            any_id<base::pool_name>(), any_text(),
                            any_length()});
                        check_round_trip(peer::slot_answer{
                            any_flag(), any_text(), any_id<base::worker_id>(),
                            any_id<base::pool_name>(), any_text()});
                    }));
    CHECK(rc::check(
        "work",
        []
        {
            const auto sent = any_submission();
            const auto got =
                peer::submit_record::from_json(transmit(sent.to_json()));
            RC_ASSERT(got.to_json() == sent.to_json());
            RC_ASSERT(got.work.identity == sent.work.identity);
            RC_ASSERT(got.work.issued_at == sent.work.issued_at);
            RC_ASSERT(got.work.payload == sent.work.payload);
            RC_ASSERT(got.work.time_limit == sent.work.time_limit);
            RC_ASSERT(got.work.idempotent == sent.work.idempotent);
            RC_ASSERT(got.work.first == sent.work.first);
            check_round_trip(peer::read_record{
                sent.work.identity, any_id<base::job_id>(), any_flag()});
        }));
    CHECK(rc::check("results",
                    []
                    {
                        const peer::record_reply sent{
                            any_flag(),
                            {*rc::gen::element(base::work_status::done,
                                               base::work_status::accepted,
                                               base::work_status::not_run,
                                               base::work_status::unknown,
                                               base::work_status::failed),
                             any_text(), any_id<base::job_id>(), any_text()}};
                        const auto got = peer::record_reply::from_json(
                            transmit(sent.to_json()));
                        RC_ASSERT(got.found == sent.found);
                        RC_ASSERT(got.result.status == sent.result.status);
                        RC_ASSERT(got.result.answer == sent.result.answer);
                        RC_ASSERT(got.result.job == sent.result.job);
                        RC_ASSERT(got.result.reason == sent.result.reason);
                    }));
}

// Guards against a crash or an exception of the library on a wrong field.
TEST_CASE("a changed field is read or refused as invalid")
{
    CHECK(rc::check("mutations",
                    []
                    {
                        check_mutations(any_heartbeat());
                        check_mutations(peer::acquire_slot{any_terms()});
                        check_mutations(any_submission());
                        check_mutations(peer::push_document{
                            {any_text(), any_number(), any_text()}});
                    }));
    for (const Json::Value& wrong :
         {Json::Value(), Json::Value(5), Json::Value("x"),
          Json::Value(Json::arrayValue)})
        CHECK_THROWS_AS(peer::heartbeat::from_json(wrong), base::error);
}

// Guards against bytes that would arrive changed.
TEST_CASE("text that is not UTF-8 is refused by the sender")
{
    peer::submit_record message;
    message.work.payload = "\xff\xfe";
    CHECK_THROWS_AS(message.to_json(), base::error);
}
