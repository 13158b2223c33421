#include "base/error.hpp"
#include "records/record_codec.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace pimentograde;

namespace
{

std::string arbitrary_text()
{
    return *rc::gen::arbitrary<std::string>();
}

records::record arbitrary_record()
{
    records::record out;
    out.identity = {base::department_name(arbitrary_text()),
                    base::caller_name(arbitrary_text()),
                    "k" + arbitrary_text()};
    out.job = base::job_id(arbitrary_text());
    out.kind =
        *rc::gen::element(base::work_kind::job, base::work_kind::request);
    out.issued_at = base::from_millis(*rc::gen::arbitrary<std::int64_t>());
    out.queue = base::queue_name(arbitrary_text());
    out.urgency =
        *rc::gen::element(base::priority::urgent, base::priority::batch);
    out.size = {static_cast<double>(*rc::gen::inRange(0, 64)) / 4,
                *rc::gen::arbitrary<std::uint64_t>(),
                *rc::gen::arbitrary<std::uint32_t>()};
    out.idempotent = *rc::gen::arbitrary<bool>();
    out.payload = arbitrary_text();
    out.state = *rc::gen::element(
        records::record_state::accepted, records::record_state::started,
        records::record_state::done, records::record_state::not_run,
        records::record_state::failed);
    out.attempt = *rc::gen::arbitrary<std::uint32_t>();
    out.worker = base::worker_id(arbitrary_text());
    out.incarnation = *rc::gen::arbitrary<std::uint64_t>();
    out.lease = base::lease_id("l" + arbitrary_text());
    out.failed_on = {base::worker_id(arbitrary_text())};
    out.failures = *rc::gen::arbitrary<std::uint32_t>();
    out.cancel_requested = *rc::gen::arbitrary<bool>();
    out.answer = arbitrary_text();
    out.answer_sha256 = arbitrary_text();
    out.reason = arbitrary_text();
    out.created_at = base::from_millis(*rc::gen::arbitrary<std::int64_t>());
    out.changed_at = base::from_millis(*rc::gen::arbitrary<std::int64_t>());
    return out;
}

} // namespace

// Guards against a field that is lost or changed in the store, also for text
// that is not UTF-8.
TEST_CASE("a record survives encoding")
{
    CHECK(rc::check("decode is the inverse of encode",
                    []
                    {
                        const auto before = arbitrary_record();
                        const auto text = records::encode_record(before);
                        RC_ASSERT(records::decode_record(text) == before);
                        const auto shard =
                            records::decode_shard(records::encode_shard(
                                base::from_millis(7), {text}));
                        RC_ASSERT(shard.horizon == base::from_millis(7));
                        RC_ASSERT(shard.entries.size() == 1u);
                        RC_ASSERT(shard.entries[0] == before);
                    }));
}

// Guards against a damaged value that is read as an empty or shorter shard and
// then overwritten.
TEST_CASE("malformed shard values are refused")
{
    records::record value;
    value.identity.key = "k";
    const auto text = records::encode_record(value);
    const auto shard = records::encode_shard(base::wall_time{}, {text});
    CHECK_NOTHROW(records::decode_shard(shard));
    CHECK(records::decode_shard("").entries.empty());
    for (std::size_t cut = 1; cut < shard.size(); ++cut)
        CHECK_THROWS_AS(records::decode_shard(shard.substr(0, cut)),
                        base::error);
    CHECK_THROWS_AS(
        records::decode_shard(R"({"format":2,"horizon":0,"records":[]})"),
        base::error);
    CHECK_THROWS_AS(
        records::decode_shard(R"({"format":1,"horizon":0,"records":[],"z":1})"),
        base::error);
    CHECK_THROWS_AS(records::decode_shard(R"([1])"), base::error);
    CHECK_THROWS_AS(records::decode_record(R"({"k":"a"})"), base::error);
}
