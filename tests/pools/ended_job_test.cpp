// Records of ended jobs, of which callers ask again.

#include "pools/job_writer.hpp"
#include "pools/owned_pool.hpp"

using namespace pimentograde;
using namespace pimentograde::node_tests;

// Guards against a job that is denied, and runs again when its caller hands it
// in again, since the time of day of an earlier owner lies behind.
TEST_CASE("an ended job is kept whatever the time of day of its owner was")
{
    const std::string key = pools::record_prefix("pool") + id_a;
    const auto ended_at = base::wall_now() - 10min;
    owned_pool all(
        std::vector<std::string>{"w0"}, 50ms, 1500ms,
        {{key, R"({"queue":"queue","status":1,"accepted_ms":1,"ended_ms":)" +
                   std::to_string(base::to_millis(ended_at)) + "}"}});
    // Records are removed when nothing is to be written.
    boost::this_fiber::sleep_for(1500ms);
    CHECK(all.owner->status(id_a).outcome == pools::job_answer::kind::found);
    CHECK(all.submit_one_task(id_a));
    boost::this_fiber::sleep_for(300ms);
    CHECK(all.starts() == 0);
}
