#!/usr/bin/env python3
"""Plays days of a site with set seeds in one or two checkouts and prints the worth of each day.

With two checkouts, each day and seed is played in both, and the table shows the paired differences of `worth` with
their mean, standard error and range. Processor time is not charged, so that a play mostly repeats. A play that breaks a
rule or a gate is printed with its command. Each checkout keeps the journal entries of its own plays.

Example: tools/compare_plays.py --bench BENCH --site SITE.toml --days trouble-1,scale-2 --seeds 1-5 \\
    --why "hypothesis" --checkout ../before --checkout .
"""

import argparse
import concurrent.futures
import json
import math
import pathlib
import statistics
import subprocess
import sys
import tempfile
import tomllib

# Attempts at a play that ends without a report: git refuses a second writer of the index at the same time.
ATTEMPTS = 3


def parse_seeds(text):
    """Returns the seeds of a list such as `1-5,77`."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def play(options, checkout, site, day, seed):
    """Plays one day and returns its report; `None` if the bench wrote none."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [options.bench, "run", str(site), day, "--seed", str(seed), "--jobs", "1"]
        command += ["--report", str(report), "--why", options.why] + ([] if options.cpu else ["--no-cpu"])
        for _ in range(ATTEMPTS):
            result = subprocess.run(command, cwd=checkout, capture_output=True, text=True)
            if report.exists():
                return json.loads(report.read_text())
        print(f"no report: {site.name} {day} --seed {seed} in {checkout}:\n{result.stdout[-500:]}{result.stderr[-500:]}")
        return None


def describe(values):
    """Formats mean, standard error and range of some values."""
    error = statistics.stdev(values) / math.sqrt(len(values)) if len(values) > 1 else math.nan
    return f"{statistics.mean(values):+.4f} ±{error:.4f} [{min(values):+.3f}, {max(values):+.3f}] of {len(values)}"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True, help="the bench's program")
    parser.add_argument("--site", required=True, action="append", type=pathlib.Path, help="site file; may be repeated")
    parser.add_argument("--days", help="days to play, with commas; all standard days without it")
    parser.add_argument("--seeds", default="1-5", type=parse_seeds, help="seeds, such as 1-5,77")
    parser.add_argument("--why", required=True, help="reason for the journal")
    parser.add_argument("--checkout", action="append", type=pathlib.Path, help="checkout; a second one is compared")
    parser.add_argument("--jobs", default=4, type=int, help="plays at a time")
    parser.add_argument("--cpu", action="store_true", help="charge processor time")
    options = parser.parse_args()
    checkouts = options.checkout or [pathlib.Path(".")]
    options.bench = str(pathlib.Path(options.bench).resolve())
    for checkout in checkouts:
        subprocess.run([options.bench, "build"], cwd=checkout, check=True, capture_output=True)

    plays = []
    for site in (path.resolve() for path in options.site):
        days = options.days.split(",") if options.days else [d["name"] for d in tomllib.loads(site.read_text())["day"]]
        plays += [(site, day, seed) for day in days for seed in options.seeds]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        futures = {}
        for p in plays:
            for i, checkout in enumerate(checkouts):
                futures[i, p] = pool.submit(play, options, checkout, *p)
        reports = {key: future.result() for key, future in futures.items()}

    is_broken = False
    for site in dict.fromkeys(p[0] for p in plays):
        print(f"\n{site.stem}")
        all_differences = []
        for day in dict.fromkeys(p[1] for p in plays if p[0] == site):
            rows = [[reports[i, p] for i in range(len(checkouts))] for p in plays if p[:2] == (site, day)]
            rows = [row for row in rows if all(row)]
            if not rows:
                continue
            means = [statistics.mean(row[i]["G"] for row in rows) for i in range(len(checkouts))]
            line = f"  {day:<10}" + "".join(f" {mean:.4f}" for mean in means)
            if len(checkouts) > 1:
                differences = [row[1]["G"] - row[0]["G"] for row in rows]
                line += "  " + describe(differences)
                if day != "quiet-1":
                    all_differences += differences
            else:
                line += "  " + " ".join(f"{row[0]['G']:.3f}" for row in rows)
            print(line)
        if all_differences:
            print(f"  days with trouble: {describe(all_differences)}")
    for (i, (site, day, seed)), report in reports.items():
        if report is None or report["breaks"] or report["missed"] or report["fault"]:
            is_broken = True
            found = report and {key: report[key] for key in ("breaks", "missed", "fault")}
            print(f"broken: {site.name} {day} --seed {seed} in {checkouts[i]}: {found}")
    sys.exit(is_broken)


if __name__ == "__main__":
    main()
