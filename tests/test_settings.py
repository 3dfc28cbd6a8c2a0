"""Tests of the reader of settings files."""

import tempfile
import unittest
from pathlib import Path

from pollengate_settings import Settings, SettingsFault, read_settings
from result import Err

VALID = """
[process]
id = "gate-1"
zone = "lima-sur-a"
[listen]
http = "10.0.0.1:8080"
rpc = "10.0.0.1:8081"
[platform]
store = "10.0.0.2:2379"
vm_list = "10.0.0.2:8000"
"""


class SettingsTest(unittest.TestCase):
    """Reads settings files in a temporary directory."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "gate.toml"

    def read(self, text: str) -> Settings:
        self.path.write_text(text)
        return read_settings(self.path).unwrap()

    def faults(self, text: str) -> dict[str, SettingsFault]:
        self.path.write_text(text)
        return {fault.key: fault for fault in read_settings(self.path).unwrap_err()}

    def test_reads_a_valid_file_with_defaults(self) -> None:
        settings = self.read(VALID)
        self.assertEqual("gate-1", settings.process_id)
        self.assertEqual("10.0.0.2:2379", settings.store_address)
        self.assertEqual(10_000_000, settings.max_body_bytes)
        self.assertEqual("text", settings.log_format)

    def test_reports_all_faults_at_once(self) -> None:
        text = VALID.replace('"10.0.0.1:8080"', '"10.0.0.1:99999"').replace('"gate-1"', '"Gate 1"')
        faults = self.faults(text + '[logging]\nformat = "xml"\n[requests]\nmax_body_bytes = "1"\n')
        self.assertEqual(
            {"process.id", "listen.http", "logging.format", "requests.max_body_bytes"},
            set(faults),
        )
        fault = faults["listen.http"]
        self.assertEqual(self.path, fault.file)
        self.assertEqual("'10.0.0.1:99999'", fault.value)
        self.assertIn("a port from 1 to 65535", fault.allowed)
        self.assertIn('"text" or "json"', str(faults["logging.format"]))

    def test_reports_missing_keys_and_tables(self) -> None:
        faults = self.faults('[process]\nid = "gate-1"\n[listen]\nhttp = "10.0.0.1:1"\n')
        self.assertEqual({"process.zone", "listen.rpc", "platform"}, set(faults))
        self.assertIn("missing", faults["platform"].detail)
        self.assertIn("store and vm_list", faults["platform"].allowed)

    def test_suggests_the_nearest_known_key_for_an_unknown_one(self) -> None:
        faults = self.faults(VALID + "[request]\nmax_body_bytes = 5\n")
        self.assertIn("nearest known key is 'requests'", faults["request"].detail)
        faults = self.faults(VALID + "[requests]\nmax_body_byte = 5\n")
        self.assertIn("'max_body_bytes'", faults["requests.max_body_byte"].detail)

    def test_rejects_addresses_that_are_not_ip_and_port(self) -> None:
        for address in ("localhost:80", "10.0.0.1", "10.0.0.300:80", "10.0.0.1:0", "::1:80", ""):
            with self.subTest(address=address):
                faults = self.faults(VALID.replace("10.0.0.1:8080", address))
                self.assertEqual(["listen.http"], list(faults))

    def test_reports_unreadable_files(self) -> None:
        missing = self.path.with_name("missing.toml")
        self.assertIn("No such file", str(read_settings(missing).unwrap_err()[0]))
        self.assertIn("not TOML", self.faults("[process")[""].detail)
        self.path.write_bytes(b"\xff\xfe")
        self.assertIn("not UTF-8", str(read_settings(self.path).unwrap_err()[0]))

    def test_rejects_a_value_in_place_of_a_table(self) -> None:
        result = read_settings(self._write("process = 3\nlisten = []\nplatform = true\n"))
        self.assertIsInstance(result, Err)
        self.assertEqual(3, len(result.unwrap_err()))

    def _write(self, text: str) -> Path:
        self.path.write_text(text)
        return self.path
