"""Tests of scripts/hunt against a stand-in of the bench that only leaves a journal entry."""

import json
import os
import subprocess
import sys
import tempfile
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
STAND_IN = """#!/usr/bin/env python3
import json, os, sys
entry = json.load(open(os.environ["ENTRY"], encoding="utf-8"))
if entry:
    entry["argv"] = sys.argv[2:]
    entry["why"] = sys.argv[sys.argv.index("--why") + 1]
    with open(os.path.join(os.environ["JOURNAL"], "2-new.json"), "w", encoding="utf-8") as file:
        json.dump(entry, file)
"""


def day(name="mix --seed 7", rules=None, fault=None, restarts=0.0):
    return {"name": name, "seed": 7, "rules": rules or {}, "fault": fault, "restarts": restarts}


def entry(*days, **changes):
    return {"cmd": "hunt", "id": "ab12", "ok": True, "error": None, "days": list(days), "days_left_out": 0, **changes}


class HuntTest(unittest.TestCase):
    def hunt(self, left_entry):
        with tempfile.TemporaryDirectory() as folder:
            journal = os.path.join(folder, "journal")
            os.mkdir(journal)
            with open(os.path.join(journal, "1-old.json"), "w", encoding="utf-8") as file:
                json.dump(entry(day(rules={"OLD": 1})), file)
            with open(os.path.join(folder, "entry.json"), "w", encoding="utf-8") as file:
                json.dump(left_entry, file)
            bench = os.path.join(folder, "bench")
            with open(bench, "w", encoding="utf-8") as file:
                file.write(STAND_IN)
            os.chmod(bench, 0o700)
            done = subprocess.run(
                [sys.executable, os.path.join(ROOT, "scripts", "hunt"), "some/site.toml", "--bench", bench,
                 "--journal", journal],
                env={**os.environ, "JOURNAL": journal, "ENTRY": os.path.join(folder, "entry.json")},
                capture_output=True, text=True, check=False)
            return done.returncode, done.stdout, done.stderr

    def test_findings(self):
        cases = [
            ("nothing", entry(day(), day()), 0, "2 days, 0 with findings"),
            ("exit without a broken rule", entry(day(restarts=2.0)), 1, "processes ended by themselves 2 times"),
            ("broken rule", entry(day(rules={"LOST": 3})), 1, "rule LOST broken 3 times"),
            ("fault", entry(day(fault="a program doesn't start")), 1, "fault: a program doesn't start"),
            ("seed and command", entry(day(restarts=1.0)), 1, "fleetbench run some/site.toml mix --seed 7 --log all"),
            ("day without a seed", entry(day("hunt-ab12-3", restarts=1.0)), 1,
             "fleetbench replay some/site.toml hunt-ab12-3 --log all"),
            ("day left out", entry(day(), days_left_out=1), 1, "1 left out"),
        ]
        for name, left_entry, status, text in cases:
            with self.subTest(name):
                returned, out, _ = self.hunt(left_entry)
                self.assertEqual(returned, status)
                self.assertIn(text, out)

    def test_failed_hunts(self):
        cases = [
            ("no entry", None, "it left no entry"),
            ("not finished", entry(ok=False, error="the run did not finish"), "the run did not finish"),
        ]
        for name, left_entry, text in cases:
            with self.subTest(name):
                returned, _, err = self.hunt(left_entry)
                self.assertEqual(returned, 2)
                self.assertIn(text, err)


if __name__ == "__main__":
    unittest.main()
