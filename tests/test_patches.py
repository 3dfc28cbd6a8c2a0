"""Tests of merge patches."""

import unittest

from pollengate.patches import merge_patch


class MergePatchTest(unittest.TestCase):
    """Examples of RFC 7396, appendix A."""

    def test_rfc_7396_examples(self) -> None:
        cases = [
            ({"a": "b"}, {"a": "c"}, {"a": "c"}),
            ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
            ({"a": "b"}, {"a": None}, {}),
            ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
            ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
            ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
        ]
        for target, patch, expected in cases:
            with self.subTest(target=target, patch=patch):
                self.assertEqual(merge_patch(target, patch), expected)
