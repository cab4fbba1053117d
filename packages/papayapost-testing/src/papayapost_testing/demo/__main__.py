"""Runs the demo and exits with code 1 if a guarantee was violated."""

import asyncio
import sys
import tempfile
from pathlib import Path

import fire

from papayapost_testing.demo.director import Director
from papayapost_testing.demo.fault_scripts import SCRIPTS
from papayapost_testing.demo.plans import DEPLOYMENTS, Deployment
from papayapost_testing.demo.script import Script

__all__ = ["run"]


def run(*names: str, keep: str = "", script: str = "minute") -> None:
    """Run a script against the deployments, one deployment after the other.

    Parameters
    ----------
    names
        Names of the deployments to run; without a name all of them run.
    keep
        Folder in which the settings files and logs are kept. By default they
        are written to a temporary folder, which is removed at the end.
    script
        Name of the script to run: a key of `SCRIPTS`.
    """
    chosen = SCRIPTS.get(script)
    if chosen is None:
        sys.exit(f"unknown script {script!r}; use one of {', '.join(SCRIPTS)}")
    violations = []
    for deployment in DEPLOYMENTS:
        if names and deployment.name not in names:
            continue
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(keep or temporary) / deployment.name
            folder.mkdir(parents=True, exist_ok=True)
            results = asyncio.run(_run(deployment, chosen, folder))
        print(results.summary(), flush=True)
        violations += [f"{results.name}: {text}" for text in results.find_violations()]
    print("\nGuarantees violated:" if violations else "\nAll guarantees held.")
    for text in violations:
        print(f"  {text}")
    sys.exit(1 if violations else 0)


async def _run(deployment: Deployment, script: Script, folder: Path):
    return await Director(deployment, script, folder).run()


if __name__ == "__main__":
    fire.Fire(run, name="demo")
