"""Compares placement policies on scenarios, by default with ten seeds, in two processes.

.venv/bin/python -m benchmarks.placement --deployment league
.venv/bin/python -m benchmarks.placement --scenario noise-wave --policies ablations
"""

import concurrent.futures
import dataclasses
import statistics

import click

from benchmarks.placement_policies import ABLATIONS, BASELINES, LEAGUE_POLICY, REGISTRY_POLICY
from benchmarks.placement_run import DEPLOYMENTS, Result, Run
from benchmarks.placement_scenarios import SCENARIOS

PROCESSES = 2
SETTINGS = {"league": LEAGUE_POLICY, "registry": REGISTRY_POLICY}
GROUPS = {
    "main": (*BASELINES, "policy"),
    "ablations": ("policy", *ABLATIONS),
    "short": ("least-loaded", "policy"),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """The parameters of one run."""

    deployment: str
    scenario: str
    policy: str
    seed: int


def run_case(case: Case) -> Result:
    """Simulates one run and returns its measures."""
    scenario = SCENARIOS[case.scenario]
    deployment = DEPLOYMENTS[case.deployment]
    run = Run(deployment, case.policy, SETTINGS[case.deployment], case.seed)
    return run.run(scenario.duration_s, scenario.script)


def row(policy: str, results: list[Result]) -> str:
    """Returns a table row with the median, lowest and highest value of each measure."""
    cells = [policy]
    for field in dataclasses.fields(Result):
        values = [getattr(result, field.name) for result in results]
        scale = 1000.0 if field.name == "work" else 1.0
        low, high = min(values) / scale, max(values) / scale
        cells.append(f"{statistics.median(values) / scale:.4g} ({low:.4g} to {high:.4g})")
    return f"| {' | '.join(cells)} |"


@click.command()
@click.option("--deployment", type=click.Choice(list(DEPLOYMENTS)), default="league")
@click.option("--scenario", "names", multiple=True, type=click.Choice(list(SCENARIOS)))
@click.option("--policies", type=click.Choice(list(GROUPS)), default="main")
@click.option(
    "--policy", "chosen", multiple=True, help="Policy to run, instead of a group; may be repeated."
)
@click.option("--seeds", default=10)
def main(
    deployment: str, names: tuple[str, ...], policies: str, chosen: tuple[str, ...], seeds: int
) -> None:
    """Prints a table for each scenario; work is in thousands of core-seconds."""
    fields = " | ".join(field.name for field in dataclasses.fields(Result))
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for name in names or SCENARIOS:
            click.echo(f"\n### {deployment}, {name}\n\n| policy | {fields} |")
            click.echo("|---" * (len(dataclasses.fields(Result)) + 1) + "|")
            for policy in chosen or GROUPS[policies]:
                cases = [Case(deployment, name, policy, seed) for seed in range(seeds)]
                click.echo(row(policy, list(pool.map(run_case, cases))))


if __name__ == "__main__":
    main()
