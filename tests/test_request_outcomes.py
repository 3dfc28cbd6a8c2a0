"""Tests of the classification of failed exchanges."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from pollengate.refusals import Outcome
from pollengate.request_outcomes import FailurePoint, Sent, classify_failure, worse_outcome

FINAL = {FailurePoint.DEADLINE, FailurePoint.CALLER_GONE}
EVERY_CASE = list(itertools.product(FailurePoint, Sent, (False, True)))


class ClassifyFailureTest(unittest.TestCase):
    """Classification of every combination of arguments."""

    def test_not_run_only_if_nothing_was_sent_or_the_backend_server_refused(self) -> None:
        for point, sent, is_idempotent in EVERY_CASE:
            with self.subTest(point=point, sent=sent, is_idempotent=is_idempotent):
                is_certain = sent is Sent.NOTHING or point is FailurePoint.REFUSED_BY_BACKEND
                failure_class = classify_failure(point, sent, is_idempotent)
                self.assertEqual(is_certain, failure_class.outcome is Outcome.NOT_RUN)

    def test_non_idempotent_request_is_not_retried_once_a_byte_may_have_been_sent(self) -> None:
        for point, sent in itertools.product(FailurePoint, (Sent.PART, Sent.WHOLE)):
            if point is not FailurePoint.REFUSED_BY_BACKEND:
                self.assertFalse(classify_failure(point, sent, False).may_retry, (point, sent))

    def test_idempotent_request_is_retried_unless_the_failure_is_final(self) -> None:
        for point, sent in itertools.product(FailurePoint, Sent):
            self.assertEqual(point not in FINAL, classify_failure(point, sent, True).may_retry)

    def test_unsent_request_is_retried_unless_the_failure_is_final(self) -> None:
        for point, is_idempotent in itertools.product(FailurePoint, (False, True)):
            failure_class = classify_failure(point, Sent.NOTHING, is_idempotent)
            self.assertEqual(point not in FINAL, failure_class.may_retry)


CASES = st.lists(st.tuples(st.sampled_from(FailurePoint), st.sampled_from(Sent)), max_size=6)


class SequenceTest(unittest.TestCase):
    """Sequences of exchanges of one request."""

    @settings(derandomize=True, max_examples=300)
    @given(CASES, st.booleans())
    def test_outcome_and_retries_are_consistent(
        self, failures: list[tuple[FailurePoint, Sent]], is_idempotent: bool
    ) -> None:
        outcome = Outcome.NOT_RUN
        may_have_run = 0
        for point, sent in failures:
            failure_class = classify_failure(point, sent, is_idempotent)
            outcome = worse_outcome(outcome, failure_class.outcome)
            may_have_run += failure_class.outcome is not Outcome.NOT_RUN
            if not failure_class.may_retry:
                break
        if outcome is Outcome.NOT_RUN:
            self.assertEqual(0, may_have_run)
        if not is_idempotent:
            self.assertLessEqual(may_have_run, 1)
