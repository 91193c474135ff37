"""Fakes and helpers of the tests."""
