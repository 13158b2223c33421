"""Tests of the checker in tools/failure_run.py.

Guards against a checker that cannot fail: each promise is broken once.
"""
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

from failure_run import Call, violations  # noqa: E402


def make_call(idempotent=False, is_job=False):
    return Call("k1", "quotes", "treasurers", idempotent, is_job)


def make_run(outcome="done"):
    return {"token": "answer-k1", "outcome": outcome,
            "answer": '{"task":"k1","answer":"answer-k1"}'}


class CheckerTest(unittest.TestCase):
    def found(self, call, log, finals=None):
        return list(violations([call], finals or {}, log))

    def test_kept_promises_are_no_violation(self):
        call = make_call()
        call.told = [{"status": "done", "answer": make_run()["answer"]}]
        self.assertEqual(self.found(call, [make_run()]), [])

    def test_second_start_is_found(self):
        call = make_call()
        call.told = [{"status": "unknown"}]
        self.assertEqual(len(self.found(call, [make_run(), make_run()])), 1)

    def test_false_not_run_is_found(self):
        call = make_call()
        call.told = [{"status": "not_run", "reason": "queue_full"}]
        self.assertEqual(len(self.found(call, [make_run()])), 1)

    def test_foreign_and_truncated_answers_are_found(self):
        call = make_call()
        call.told = [{"status": "done", "answer": '{"answer":"answer-k2"}'}]
        self.assertEqual(len(self.found(call, [make_run()])), 1)
        call.told = [{"status": "done", "answer": '{"answer":"answer-k1"}'}]
        self.assertEqual(len(self.found(call, [make_run()])), 1)

    def test_job_without_end_is_found_unless_its_worker_was_lost(self):
        call = make_call(is_job=True)
        call.job = "07-1"
        call.told = [{"status": "accepted", "job": "07-1"}]
        finals = {"07-1": {"status": "unknown"}}
        self.assertEqual(len(self.found(call, [make_run()], finals)), 1)
        self.assertEqual(self.found(call, [make_run("lost")], finals), [])


if __name__ == "__main__":
    unittest.main()
