"""Tests that inject faults into running flows, among them the fault matrix."""
