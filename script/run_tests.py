"""Runs behave features in parallel and counts passed and failed scenarios.

A scenario listed in KNOWN-RED.txt is an expected failure: it is printed, but not counted as failed.
"""

import argparse
import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "test: "
WORKERS = 3
FEATURE_TIMEOUT_SECONDS = 900


@dataclass(slots=True)
class FeatureResult:
    """Names of the passed and failed scenarios of a feature, and the output of behave."""

    passed: list[str] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    output: str = ""


def run_feature(path: Path, options: list[str]) -> FeatureResult:
    """Run a feature file in a separate behave process."""
    name = str(path.relative_to(ROOT))
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "--format", "progress3"]
        command += ["--format", "json", "--outfile", "/dev/stdout", "--outfile", str(report)]
        try:
            finished = subprocess.run(
                [*command, *options, str(path)],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=FEATURE_TIMEOUT_SECONDS,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return FeatureResult(failed=[f"{name}: timeout"], output="the feature timed out")
        text = report.read_text() if report.exists() else ""
    result = FeatureResult(output=finished.stdout + finished.stderr)
    features = json.loads(text) if text.strip() else []
    for feature in features:
        add_scenarios(feature, name, result)
    if not features or (finished.returncode != 0 and not result.failed):
        result.failed.append(f"{name}: the run failed with exit code {finished.returncode}")
    return result


def add_scenarios(feature: dict, name: str, result: FeatureResult) -> None:
    """Add the outcomes of a feature's scenarios to the result."""
    for element in feature.get("elements", []):
        if element["type"] != "scenario" or element.get("status") == "skipped":
            continue
        label = f"{name}: {element['name']}".strip()
        (result.passed if element.get("status") == "passed" else result.failed).append(label)


def expected_failures() -> set[str]:
    """Return the scenarios that KNOWN-RED.txt lists as expected failures."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(KNOWN_RED_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_RED_PREFIX)
    }


def main() -> int:
    """Run the features and return the exit code."""
    parser = argparse.ArgumentParser(description="Run the tests.")
    parser.add_argument("paths", nargs="*", default=["tests"], help="feature files or folders")
    parser.add_argument("--workers", type=int, default=WORKERS, help="features run in parallel")
    arguments, options = parser.parse_known_args()
    features: list[Path] = []
    for name in arguments.paths:
        path = (ROOT / name).resolve()
        features += sorted(path.rglob("*.feature")) if path.is_dir() else [path]
    with ThreadPoolExecutor(arguments.workers) as pool:
        results = list(pool.map(lambda path: run_feature(path, options), features))
    return report(results)


def report(results: list[FeatureResult]) -> int:
    """Print a summary and return the exit code."""
    expected = expected_failures()
    passed = [name for result in results for name in result.passed]
    all_failed = [name for result in results for name in result.failed]
    failed = [name for name in all_failed if name not in expected]
    for result in results:
        if any(name in failed for name in result.failed):
            print(result.output)
    for name in sorted(set(all_failed) & expected):
        print(f"known red: {name}")
    for name in sorted(expected & set(passed)):
        print(f"listed in {KNOWN_RED.name}, but it passed: {name}")
    for name in failed:
        print(f"failed: {name}")
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
