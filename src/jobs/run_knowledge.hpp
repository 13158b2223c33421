#ifndef PIMENTOGRADE_JOBS_RUN_KNOWLEDGE_HPP
#define PIMENTOGRADE_JOBS_RUN_KNOWLEDGE_HPP

#include "base/time.hpp"

namespace pimentograde::jobs
{

/// Whether the owner of a pool knows all runs that may exist on a worker, and
/// on what ground. Only the roster and the worker itself give a ground: that
/// runs are lost, or that the worker is said to have ended, tells nothing about
/// what an earlier owner has started there.
class run_knowledge
{
public:
    /// No ground: any run may exist at any time.
    run_knowledge() = default;
    /// No roster names the worker: an owner starts runs only on workers that
    /// its stored roster names.
    static run_knowledge never_used();
    /// An earlier owner has stored all its runs and has started no others
    /// since.
    static run_knowledge stated_by_roster();
    /// Only the worker knows what earlier owners have started there. Nothing
    /// that they have started or may still start exists after `until`.
    static run_knowledge unknown_until(base::time_point until);

    /// The worker has listed all its runs under this owner's fence, and ignores
    /// orders under lower ones from then on.
    void note_report();
    /// Runs that are not known may exist until `until`, since this owner
    /// extends the worker's lease.
    void note_lease(base::time_point until);
    /// The report came from an incarnation that this owner had not heard, while
    /// its ownership was contested: a later owner may have heard the
    /// incarnation before, whose runs have ended or been lost since.
    void note_doubt() { is_doubtful_ = true; }
    /// The ownership is exclusive, so there has been no later owner.
    void end_doubt() { is_doubtful_ = false; }
    [[nodiscard]] bool is_doubtful() const { return is_doubtful_; }
    /// The list no longer holds: the worker is gone, silent beyond its lease or
    /// has restarted. What earlier owners may have there does not change.
    void forget_report() { has_reported_ = false; }

    /// The worker's last list holds.
    [[nodiscard]] bool has_reported() const { return has_reported_; }
    /// All runs that may exist there are known from the roster, from the worker
    /// or since nobody has used it.
    [[nodiscard]] bool is_certain() const { return ground_ != ground::none; }
    /// Earlier owners may have runs there that this owner does not know.
    [[nodiscard]] bool may_hide_runs(base::time_point now) const
    {
        return !is_certain() && now < hidden_until_;
    }

private:
    enum class ground
    {
        unused,
        roster,
        report,
        none
    };

    ground ground_ = ground::none;
    bool has_reported_ = false;
    bool is_doubtful_ = false;
    base::time_point hidden_until_ = base::time_point::max();
};

} // namespace pimentograde::jobs

#endif
